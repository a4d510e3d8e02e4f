#ifndef GENTIANLUG_HTTP1_CLIENT_POOL_H
#define GENTIANLUG_HTTP1_CLIENT_POOL_H

#include "gentianlug/core/address.h"
#include "gentianlug/http1/message_reader.h"
#include "gentianlug/http1/socket_rules.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace gentianlug::http1 {

/// How sending one request ended.
enum class send_end {
  Answered,
  /// No connection was established: no byte of the request has left.
  NotSent,
  /// The connection ended before the whole answer.
  Lost,
  /// The other side sent bytes that are no answer.
  Malformed,
};

struct send_result {
  send_end End = send_end::NotSent;
  /// The request went out on a connection that had been used before.
  bool Reused = false;
  response Answer;
};

struct send_options {
  std::chrono::milliseconds ConnectTimeout{300};
  /// A kept connection that has been idle for longer is not used.
  std::chrono::milliseconds MaxIdle{5000};
  /// Header field whose value an answer repeats, or "". An answer with another
  /// value belongs to an earlier request and is dropped.
  std::string EchoedField;
};

/// Sends requests over connections that it keeps for later requests.
///
/// Kept connections are bounded by `MaxIdlePerAddress`; further ones are
/// closed after their answer. The number of requests is bounded by the callers.
class client_pool {
public:
  using ticket = std::uint64_t;
  using callback = std::function<void(send_result)>;

  client_pool(net::event_loop &Loop, message_limits Limits, socket_rules Rules);
  ~client_pool();

  /// Sends \p Request and runs \p Done once with the end, in a later round of
  /// the loop.
  ticket send(const address &To, request Request, const send_options &Options,
              callback Done);
  /// Closes the connection of a request; its callback does not run.
  void cancel(ticket Ticket);
  /// Returns the connections opened so far.
  std::uint64_t opened() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

/// Kept connections to one address.
inline constexpr std::size_t MaxIdlePerAddress = 32;

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_CLIENT_POOL_H
