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
  /// A larger body is read to its end, not kept, and refused with status 413.
  std::size_t MaxBodyBytes = 2 << 20;
  /// Further connections are closed at once.
  std::size_t MaxConnections = 1000;
  /// Time from the first byte of a request to the end of its headers.
  std::chrono::milliseconds HeaderTimeout{5000};
  /// A connection is closed after this time without a byte, except while its
  /// request is being handled.
  std::chrono::seconds IdleTimeout{30};
};

/// One request that waits for its response.
///
/// Copies share the request. It may be kept and answered later; only the first
/// response counts. A request whose last copy goes unanswered gets status 500,
/// and an unfinished streamed response is aborted.
class http_exchange {
public:
  struct impl;

  explicit http_exchange(std::shared_ptr<impl> Impl);

  const http_request &request() const;

  /// Sends the whole response. Does nothing when the client has gone.
  void reply(const http_response &Response) const;

  /// Starts a streamed response with the status and headers of \p Head.
  ///
  /// With a Content-Length field the parts must add up to it; without one the
  /// body is sent in chunks.
  void start(const http_response &Head) const;

  /// Sends one part of a streamed response.
  ///
  /// \returns the bytes that wait in memory for the client. The sender stops
  /// at its bound and goes on when `onDrained` runs.
  std::size_t sendPart(std::string_view Part) const;

  /// Runs \p Action each time all parts sent so far have left memory.
  void onDrained(std::function<void()> Action) const;

  /// Ends a streamed response. A response that is shorter than its
  /// Content-Length is aborted instead.
  void finish() const;

  /// Runs \p Action once when the client goes away before the response is
  /// complete. Half-closing the connection counts as going away.
  void onDisconnect(std::function<void()> Action) const;

  /// Resets the connection, so that the client cannot take what it received
  /// for a whole response, even without a length.
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

  /// Closes the connections on which no request is under way, and from now on
  /// those that become idle.
  void closeIdle();

  /// Returns the bytes sent and received on all connections so far, with
  /// headers.
  std::uint64_t bytes() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_SERVER_H
