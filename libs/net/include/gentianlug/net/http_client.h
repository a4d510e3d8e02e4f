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

/// Resource limits of an HTTP client.
struct http_client_limits {
  /// Largest body that `send` collects. Streamed bodies are not limited.
  std::size_t MaxBodyBytes = 64 << 20;
  /// Idle connections kept per peer; any others are closed.
  std::size_t MaxIdlePerPeer = 16;
  /// Idle connections are closed after this time.
  std::chrono::milliseconds MaxIdleTime{5000};
  /// Request target of the health check that is sent on each idle connection
  /// every second. A connection without a response within 800 ms is closed. If
  /// empty, idle connections are not checked.
  std::string PingTarget;
};

/// Selects the connection for a request.
enum class connection_choice {
  /// Reuses an idle connection to the peer if there is one.
  Any,
  /// Always opens a connection, for a peer whose idle connections may be
  /// unresponsive.
  New,
};

/// Callbacks for a streamed response: `OnHeaders` runs once with status and
/// headers, `OnBodyPart` for each piece of the body, and `OnComplete` once. If
/// `OnComplete` receives an error, the response is incomplete.
struct response_callbacks {
  std::function<void(const http_response &Head)> OnHeaders;
  std::function<void(std::string_view Part)> OnBodyPart;
  std::function<void(result<void>)> OnComplete;
};

/// Asynchronous HTTP client with persistent connections, for use in the thread
/// of its event loop.
///
/// A response needs a Content-Length or chunked encoding. If only the close of
/// the connection delimits the body, a truncated body cannot be told from a
/// complete one, so such a response is an error (`ResponseWithoutLength`).
class http_client {
public:
  using callback = std::function<void(result<http_response>)>;
  using request_id = std::uint64_t;

  explicit http_client(event_loop &Loop, http_client_limits Limits = {});
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends a request and collects the complete response.
  ///
  /// \param Timeout time limit from the call to the end of the response.
  /// \param Done called exactly once, unless the request is canceled first.
  /// Errors: `ConnectFailed` (no byte was sent), `Timeout`, `ConnectionLost`,
  /// `ResponseTooLarge`, `ResponseWithoutLength`.
  request_id send(const address &Peer, const http_request &Request,
                  std::chrono::milliseconds Timeout, callback Done,
                  connection_choice Choice = connection_choice::Any);

  /// Sends a request and delivers the response as it arrives.
  ///
  /// \param Receiver its `OnComplete` is called exactly once, unless the
  /// request is canceled first. The errors are those of `send`.
  request_id stream(const address &Peer, const http_request &Request,
                    std::chrono::milliseconds Timeout,
                    response_callbacks Receiver,
                    connection_choice Choice = connection_choice::Any);

  /// Stops reading a response. Up to 32 KB that have already been received are
  /// still delivered, followed by `OnComplete` if they complete the response.
  void pause(request_id Id);

  /// Resumes reading after `pause`.
  void resume(request_id Id);

  /// Cancels a request and closes its connection. No callback runs.
  void cancel(request_id Id);

  /// Returns whether the next request to \p Peer can reuse an idle connection.
  bool hasIdleConnection(const address &Peer) const;

  /// Closes the idle connections to \p Peer, for use after one of them has
  /// stopped responding.
  void closeIdle(const address &Peer);

  /// Returns the total number of bytes sent and received on all connections,
  /// including headers.
  std::uint64_t transferredBytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_CLIENT_H
