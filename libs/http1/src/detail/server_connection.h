#ifndef GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H
#define GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H

#include "detail/stream_socket.h"
#include "gentianlug/http1/memory_guard.h"
#include "gentianlug/http1/server.h"

#include <deque>
#include <optional>

namespace gentianlug::http1::detail {

class server_exchange;

/// State shared by all connections of a server.
struct server_state {
  net::event_loop &Loop;
  server_limits Limits;
  server::handler Handler;
  server::refusal_observer OnRefusal;
  server::refusal_decorator DecorateRefusal;
  link_pacer *Pacer = nullptr;
  memory_guard *Memory = nullptr;
  bool Draining = false;
  std::size_t PendingRequests = 0;
};

/// One accepted connection with its pipelined requests.
class server_connection final
    : public std::enable_shared_from_this<server_connection> {
public:
  using time_point = std::chrono::steady_clock::time_point;

  server_connection(server_state &Server,
                    std::function<void(server_connection *)> OnClose);

  void start(int Fd, const socket_options &Options);
  /// Closes the connection if it is idle or closing for too long. A request
  /// head that takes too long is answered with status 408.
  void enforceTimeouts(time_point Now);
  void closeIfIdle();
  /// Closes the connection and notifies the pending requests.
  void closeAndNotify();
  /// The same in the next iteration of the event loop.
  void closeLater();
  /// Returns since when the client has neither sent nor received anything, if
  /// no request of it is in progress.
  std::optional<time_point> idleSince() const;
  std::size_t unsentBytes() const { return Socket.unsentBytes(); }

private:
  friend class server_exchange;

  void readRequests();
  bool feedReader();
  void dispatch(request Request);
  void refuse(int Status);
  /// Refuses the request that is being received, because there is no memory.
  void refuseForMemory();
  void discardInput();
  void sendReadyResponses();
  void onClosed();
  void updateReading();
  /// Counts the bytes that have been received of an incomplete request.
  ///
  /// \returns whether there is memory for them.
  bool countReceivedBytes();
  void countUnsentBytes();

  server_state &Server;
  std::function<void(server_connection *)> OnClose;
  stream_socket Socket;
  message_reader Reader;
  memory_holding ReceivedBytes;
  memory_holding UnsentBytes;
  std::deque<std::shared_ptr<server_exchange>> Exchanges;
  address Client;
  time_point LastActivity;
  std::optional<time_point> HeadStart;
  /// Time at which the last response was given or, if later, at which the
  /// client was last seen to accept bytes of it. Empty until the connection is
  /// closing.
  std::optional<time_point> ClosingSince;
  std::size_t LastUnsentBytes = 0;
  /// No further requests are read, because the client asked to close the
  /// connection, a request was rejected, or the server is draining.
  bool LastRequestSeen = false;
  bool ContinueSent = false;
  bool Dispatching = false;
};

/// A request of a `server_connection`, queued in the order of the responses.
class server_exchange final : public exchange {
public:
  server_exchange(std::weak_ptr<server_connection> Connection, request Request,
                  server_state &Server, address Client);

  request &receivedRequest() override { return Request; }
  address clientAddress() const override { return Client; }
  void respond(response NewResponse) override;
  void abandon() override;
  void onClientDisconnect(std::function<void()> Callback) override;

private:
  friend class server_connection;

  /// Counts the request for the time of its call.
  ///
  /// \returns whether there is memory for it.
  bool countCall();
  /// Gives up the request and counts the response until it is sent.
  void countResponse();
  void finish();
  void notifyDisconnect();

  std::weak_ptr<server_connection> Connection;
  request Request;
  server_state &Server;
  address Client;
  std::optional<response> Response;
  memory_holding HeldBytes;
  std::function<void()> OnDisconnect;
  bool Finished = false;
  bool Abandoned = false;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H
