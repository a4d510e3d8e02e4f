#ifndef GENTIANLUG_NODE_SERVER_LINK_H
#define GENTIANLUG_NODE_SERVER_LINK_H

#include "gentianlug/admission/call_queue.h"
#include "gentianlug/admission/connection_pacer.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <deque>
#include <unordered_map>

namespace gentianlug::node {

/// Connections to the backend server beside the node. New connections are
/// paced: a call that needs one is queued until the server can accept it.
class server_link {
public:
  using ticket = admission::call_ticket;

  server_link(net::event_loop &Loop, const clock &Clock);

  /// Sets the address of the server, the time that it needs to accept a
  /// connection, and its maximum number of connections.
  void configure(const address &Server, std::chrono::microseconds ConnectCost,
                 std::uint32_t Connections);

  /// Sends a call as soon as a connection is available.
  ///
  /// \param Receiver `OnComplete` runs once, unless the call is canceled. A
  /// call that gets no connection before \p Deadline ends with `ConnectFailed`.
  void send(ticket Ticket, net::http_request Request, steady_time Deadline,
            net::response_callbacks Receiver);

  /// Cancels a call and closes its connection; no callback runs.
  void cancel(ticket Ticket);

  /// Returns whether bytes of the call may have reached the server.
  bool mayHaveReachedServer(ticket Ticket) const {
    return ActiveRequests.count(Ticket) > 0;
  }

  void pause(ticket Ticket);
  void resume(ticket Ticket);

private:
  struct queued_request {
    ticket Ticket;
    net::http_request Request;
    steady_time Deadline;
    net::response_callbacks Receiver;
  };

  void sendQueued();
  void transmit(queued_request Call);
  void failExpired(queued_request Call);

  net::event_loop &Loop;
  const clock &Clock;
  net::http_client Client;
  net::timer PacingTimer;
  admission::connection_pacer Pacer;
  address Server;
  std::uint32_t MaxConnections = 1;
  std::deque<queued_request> QueuedRequests;
  std::unordered_map<ticket, net::http_client::request_id> ActiveRequests;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVER_LINK_H
