#ifndef GENTIANLUG_NET_HTTP_CLIENT_H
#define GENTIANLUG_NET_HTTP_CLIENT_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/result.h"
#include "gentianlug/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentianlug::net {

class event_loop;

/// Bounds of a client.
struct http_client_limits {
  /// Bound of a body that `send` collects. Streamed bodies have no bound.
  std::size_t MaxBodyBytes = 64 << 20;
  /// Idle connections kept for each peer; further ones are closed.
  std::size_t MaxIdlePerPeer = 16;
  /// An idle connection is closed after this time.
  std::chrono::milliseconds MaxIdleTime{5000};
  /// Target of the request that checks each idle connection every second; a
  /// connection without an answer within 800 ms is closed. Empty means that
  /// idle connections are not checked.
  std::string PingTarget;
};

/// Which connection a request may use.
enum class connection_choice {
  /// An idle one of the peer, or a new one.
  Any,
  /// A new one, for a peer whose idle connections may be silent.
  New,
};

/// Receives a response in parts: `Head` once, `Part` for each piece of the
/// body, `End` once. After an error of `End` the response is not whole.
struct response_receiver {
  std::function<void(const http_response &Head)> Head;
  std::function<void(std::string_view Part)> Part;
  std::function<void(result<void>)> End;
};

/// HTTP client of one task, with reused connections.
///
/// A response needs a length or chunks: when the end of the connection is the
/// only end of a body, a cut body cannot be told from a whole one, so such a
/// response is an error (`AnswerWithoutLength`).
class http_client {
public:
  using callback = std::function<void(result<http_response>)>;
  using request_id = std::uint64_t;

  explicit http_client(event_loop &Loop, http_client_limits Limits = {});
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends one request and collects the whole response.
  ///
  /// \param Timeout for the whole exchange.
  /// \param Done runs exactly once, unless the request is canceled first.
  /// Errors: `ConnectFailed` (no byte was sent), `Timeout`, `ConnectionLost`,
  /// `AnswerTooLarge`, `AnswerWithoutLength`.
  request_id send(const address &Peer, const http_request &Request,
                  std::chrono::milliseconds Timeout, callback Done,
                  connection_choice Choice = connection_choice::Any);

  /// Sends one request and passes the response on as it arrives.
  ///
  /// \param Receiver its `End` runs exactly once, unless the request is
  /// canceled first. Errors as for `send`.
  request_id stream(const address &Peer, const http_request &Request,
                    std::chrono::milliseconds Timeout,
                    response_receiver Receiver,
                    connection_choice Choice = connection_choice::Any);

  /// Stops reading a response. Up to 32 KB that have arrived already are still
  /// passed on, and `End` too when they complete the response.
  void pause(request_id Id);

  /// Goes on after `pause`.
  void resume(request_id Id);

  /// Gives up a request and closes its connection; no callback runs.
  void cancel(request_id Id);

  /// Returns whether the next request to \p Peer reuses an open connection.
  bool reusesConnection(const address &Peer) const;

  /// Closes the idle connections to \p Peer, after one of them went silent.
  void closeIdle(const address &Peer);

  /// Returns the bytes sent and received on all connections so far, with
  /// headers.
  std::uint64_t bytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_CLIENT_H
