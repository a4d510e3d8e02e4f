#ifndef GENTIANLUG_HTTP1_CLIENT_POOL_H
#define GENTIANLUG_HTTP1_CLIENT_POOL_H

#include "gentianlug/core/address.h"
#include "gentianlug/http1/memory_guard.h"
#include "gentianlug/http1/message_reader.h"
#include "gentianlug/http1/socket_options.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace gentianlug::http1 {

/// Result of sending one request.
enum class send_outcome {
  Responded,
  /// No connection was established, so no byte of the request was sent.
  NotSent,
  /// The connection was closed before the response was complete. The server may
  /// have processed the request.
  ConnectionLost,
  /// The peer sent bytes that are not a valid HTTP response.
  Malformed,
  /// This process had no memory for the response. The server may have processed
  /// the request and is not to blame.
  NoMemory,
};

struct send_result {
  send_outcome Outcome = send_outcome::NotSent;
  /// Whether the request was sent on a connection that had been used before.
  bool Reused = false;
  response Response;
};

struct send_options {
  std::chrono::milliseconds ConnectTimeout{300};
  /// Pooled connections that have been idle for longer are not reused.
  std::chrono::milliseconds MaxIdleTime{5000};
  /// Name of a request header field that the server echoes in its response, or
  /// "". A response with another value belongs to an earlier request and is
  /// discarded. After a response without the field the connection is closed.
  std::string EchoedHeader;
};

/// HTTP/1.1 client with a pool of persistent connections.
///
/// At most `MaxIdlePerAddress` idle connections are pooled for each address,
/// and `MaxIdleConnections` in all; further ones are closed after their
/// response. The pool does not limit the number of concurrent requests; its
/// callers do.
class client_pool {
public:
  using ticket = std::uint64_t;
  using callback = std::function<void(send_result)>;

  /// \param Memory counts the responses that are being received; may be null.
  /// A response for which it has no memory ends with `NoMemory`.
  client_pool(net::event_loop &Loop, message_limits Limits,
              socket_options SocketOptions, memory_guard *Memory = nullptr);
  ~client_pool();

  /// Sends \p Request and calls \p OnComplete once with the result, in a later
  /// iteration of the event loop. It is not called after `cancel` or after the
  /// pool has been destroyed.
  ticket send(const address &To, request Request, const send_options &Options,
              callback OnComplete);
  /// Closes the connection of a request. Its callback is not called.
  void cancel(ticket Ticket);
  /// Returns the number of connections opened so far, failed attempts included.
  std::uint64_t openedConnections() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

/// Maximum number of idle connections that are pooled for one address.
inline constexpr std::size_t MaxIdlePerAddress = 32;
/// Maximum number of idle connections of a pool.
inline constexpr std::size_t MaxIdleConnections = 256;

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_CLIENT_POOL_H
