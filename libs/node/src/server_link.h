#ifndef GENTIANLUG_NODE_SERVER_LINK_H
#define GENTIANLUG_NODE_SERVER_LINK_H

#include "gentianlug/admission/call_queue.h"
#include "gentianlug/admission/connection_pacer.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <deque>
#include <unordered_map>

namespace gentianlug::node {

/// Connections to the server beside the node. A call that needs a new one
/// waits until the server can take it.
class server_link {
public:
  using ticket = admission::call_ticket;

  server_link(net::event_loop &Loop, const clock &Clock);

  /// Takes the address of the server, the time that it spends on a connection
  /// and the number of connections that it accepts.
  void configure(const address &Server, std::chrono::microseconds ConnectCost,
                 std::uint32_t Connections);

  /// Sends a call as soon as there is a connection for it.
  ///
  /// \param Receiver `End` runs once, unless the call is canceled. A call that
  /// got no connection until \p Deadline ends with `ConnectFailed`.
  void send(ticket Ticket, net::http_request Request, steady_time Deadline,
            net::response_receiver Receiver);

  /// Gives up a call and closes its connection; no callback runs.
  void cancel(ticket Ticket);

  /// Returns whether bytes of the call may have reached the server.
  bool transmitted(ticket Ticket) const { return Active.count(Ticket) > 0; }

  void pause(ticket Ticket);
  void resume(ticket Ticket);

private:
  struct waiting_request {
    ticket Ticket;
    net::http_request Request;
    steady_time Deadline;
    net::response_receiver Receiver;
  };

  void sendWaiting();
  void transmit(waiting_request Call);
  void expire(waiting_request Call);

  net::event_loop &Loop;
  const clock &Clock;
  net::http_client Client;
  net::timer PaceTimer;
  admission::connection_pacer Pacer;
  address Server;
  std::uint32_t Connections = 1;
  std::deque<waiting_request> Waiting;
  std::unordered_map<ticket, net::http_client::request_id> Active;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVER_LINK_H
