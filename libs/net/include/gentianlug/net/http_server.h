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

/// Protection of a listener against its clients.
struct http_server_limits {
  std::size_t MaxHeaderBytes = 64 << 10;
  std::size_t MaxBodyBytes = 2 << 20;
  /// A connection is closed after this time without a byte.
  std::chrono::seconds IdleTimeout{30};
};

/// One request that waits for its response.
///
/// Copies share the request. It may be kept and answered later; only the first
/// response counts. A request whose last copy goes unanswered gets status 500.
class http_exchange {
public:
  struct impl;

  explicit http_exchange(std::shared_ptr<impl> Impl);

  const http_request &request() const;

  /// Sends the whole response. Does nothing when the client has gone.
  void reply(const http_response &Response) const;

  /// Closes the connection without a complete response.
  void abort() const;

private:
  std::shared_ptr<impl> Impl;
};

/// HTTP listener of one task.
class http_server {
public:
  using handler = std::function<void(http_exchange)>;

  /// \param Handler runs for each request, in the thread of the loop.
  http_server(event_loop &Loop, http_server_limits Limits, handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Starts to listen. Errors: `net_errc::ListenFailed` with the reason.
  result<void> listen(const address &Address);

  /// Closes the listening socket; open connections go on.
  void stopListening();

  /// Returns the bytes sent and received on all connections so far, with
  /// headers.
  std::uint64_t bytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_SERVER_H
