#ifndef GENTIANLUG_NET_HTTP_CLIENT_H
#define GENTIANLUG_NET_HTTP_CLIENT_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/result.h"
#include "gentianlug/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// Bounds of a client.
struct http_client_limits {
  std::size_t MaxBodyBytes = 64 << 20;
  /// Idle connections kept for each peer; further ones are closed.
  std::size_t MaxIdlePerPeer = 16;
};

/// HTTP client of one task, with reused connections.
class http_client {
public:
  using callback = std::function<void(result<http_response>)>;
  using request_id = std::uint64_t;

  explicit http_client(event_loop &Loop, http_client_limits Limits = {});
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends one request on an idle or a new connection.
  ///
  /// \param Timeout for the whole exchange.
  /// \param Done runs exactly once, unless the request is canceled first.
  /// Errors: `ConnectFailed` (no byte was sent), `Timeout`, `ConnectionLost`,
  /// `AnswerTooLarge`.
  request_id send(const address &Peer, const http_request &Request,
                  std::chrono::milliseconds Timeout, callback Done);

  /// Gives up a request and closes its connection; `Done` does not run.
  void cancel(request_id Id);

  /// Returns the bytes sent and received on all connections so far, with
  /// headers.
  std::uint64_t bytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_CLIENT_H
