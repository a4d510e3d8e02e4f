#ifndef GENTIANLUG_HTTP1_SERVER_H
#define GENTIANLUG_HTTP1_SERVER_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/result.h"
#include "gentianlug/http1/link_pacer.h"
#include "gentianlug/http1/memory_guard.h"
#include "gentianlug/http1/message_reader.h"
#include "gentianlug/http1/socket_options.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <functional>
#include <memory>

namespace gentianlug::http1 {

/// Limits that a server enforces on its clients.
struct server_limits {
  message_limits Message;
  /// Time limit from the first byte of a request head to its end.
  std::chrono::milliseconds HeadTimeout{5000};
  std::chrono::milliseconds IdleTimeout{30000};
  /// Beyond this number, a connection without a request in progress is closed
  /// for each new one, that of the client that has been silent for longest. If
  /// there is none, the new one is closed.
  std::size_t MaxConnections = 2000;
  /// Maximum number of concurrent requests of one connection. The connection is
  /// not read while it is at this limit.
  std::size_t MaxPipelined = 64;
};

/// One request and its response.
///
/// Pipelined requests of a connection are handled concurrently; their responses
/// are sent in the order of the requests.
class exchange {
public:
  virtual ~exchange() = default;

  virtual request &receivedRequest() = 0;
  virtual address clientAddress() const = 0;
  /// Sends the response. Only the first call has an effect. The response is
  /// discarded if the client has disconnected.
  virtual void respond(response Response) = 0;
  /// Closes the connection after the responses to earlier requests, without a
  /// response to this one.
  virtual void abandon() = 0;
  /// Calls \p Callback if the client disconnects before the response is given.
  virtual void onClientDisconnect(std::function<void()> Callback) = 0;
};

/// HTTP/1.1 server that listens at one address.
class server {
public:
  using handler = std::function<void(std::shared_ptr<exchange>)>;
  /// Called for each request that is rejected before it reaches the handler.
  using refusal_observer =
      std::function<void(const address &Client, int Status)>;

  /// Adds header fields to the response to such a request.
  using refusal_decorator = std::function<void(response &Response)>;

  server(net::event_loop &Loop, server_limits Limits, handler Handler);
  ~server();

  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At, const socket_options &Options);
  void setLimits(const server_limits &Limits);
  /// Paces the responses on connections accepted after this call by \p Pacer,
  /// which must outlive the server.
  void setPacer(link_pacer &Pacer);
  /// Counts the requests and responses of connections accepted after this call
  /// by \p Guard, which must outlive the server. A request for which there is
  /// no memory gets status 503; a connection whose client does not read its
  /// responses is closed if their memory is needed.
  void setMemoryGuard(memory_guard &Guard);
  void setRefusalObserver(refusal_observer Observer);
  void setRefusalDecorator(refusal_decorator Decorator);
  /// From now on, the last pending response of each connection carries
  /// `Connection: close`, and the connection is closed after it. Idle
  /// connections stay open until their next response or `closeIdle`.
  void startDraining();
  /// Closes all connections without requests in progress.
  void closeIdle();
  /// Closes the listening socket. Open connections are not affected.
  void stopListening();
  std::size_t connections() const;
  /// Returns the number of response bytes that are buffered for sending.
  /// Complexity: linear in the number of connections.
  std::size_t unsentBytes() const;
  /// Returns the number of requests without a response.
  std::size_t pendingRequests() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_SERVER_H
