#ifndef GENTIANLUG_NET_HTTP_SERVER_H
#define GENTIANLUG_NET_HTTP_SERVER_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/result.h"
#include "gentianlug/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// Limits that protect a server from misbehaving clients.
struct http_server_limits {
  std::size_t MaxHeaderBytes = 64 << 10;
  /// A larger body is read and discarded, and the request gets status 413.
  std::size_t MaxBodyBytes = 2 << 20;
  /// Memory of all unfinished requests together. Beyond it, connections with
  /// such requests are closed, those that have been silent for longest first.
  std::size_t MaxUnfinishedBytes = 32 << 20;
  /// Connections beyond this number are closed immediately.
  std::size_t MaxConnections = 1000;
  /// Time allowed from the first byte of a request to the end of its headers.
  std::chrono::milliseconds HeaderTimeout{5000};
  /// A connection is closed after this time without traffic, except while its
  /// request is being handled.
  std::chrono::seconds IdleTimeout{30};
};

/// A received request and the means to respond to it.
///
/// Copies refer to the same request. The response may be sent at any later
/// time; only the first one takes effect. If the last copy is destroyed before
/// a response, the client gets status 500; an incomplete streamed response is
/// aborted.
class http_exchange {
public:
  struct impl;

  explicit http_exchange(std::shared_ptr<impl> Impl);

  const http_request &request() const;

  /// Sends a complete response. Has no effect after the client has
  /// disconnected.
  void reply(const http_response &Response) const;

  /// Starts a streamed response with the status and headers of \p Head.
  ///
  /// If there is a Content-Length field, the parts must add up to it; otherwise
  /// the body is sent with chunked encoding.
  void start(const http_response &Head) const;

  /// Sends one part of the body of a streamed response.
  ///
  /// \returns the number of bytes buffered for the client. For backpressure,
  /// the sender stops at a limit of its own and continues when the `onDrained`
  /// action runs.
  std::size_t sendBodyPart(std::string_view Part) const;

  /// Runs \p Action each time all buffered parts have been written to the
  /// socket.
  void onDrained(std::function<void()> Action) const;

  /// Completes a streamed response. A response that is shorter than its
  /// Content-Length is aborted instead.
  void finish() const;

  /// Runs \p Action once if the client disconnects before the response is
  /// complete. A half-closed connection counts as disconnected.
  void onDisconnect(std::function<void()> Action) const;

  /// Resets the connection, so that the client cannot mistake a truncated
  /// response for a complete one, even if it has no length.
  void abort() const;

private:
  std::shared_ptr<impl> Impl;
};

/// Asynchronous HTTP server, for use in the thread of its event loop.
class http_server {
public:
  using handler = std::function<void(http_exchange)>;

  /// \param Handler called for each request, in the thread of the loop.
  http_server(event_loop &Loop, http_server_limits Limits, handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Starts to listen. Errors: `net_errc::ListenFailed` with the system error.
  result<void> listen(const address &Address);

  /// Closes the listening socket. Open connections are not affected.
  void stopListening();

  /// Closes the connections without a request in progress, and from now on each
  /// connection that becomes idle.
  void closeIdle();

  /// Returns the total number of bytes sent and received on all connections,
  /// including headers.
  std::uint64_t transferredBytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_SERVER_H
