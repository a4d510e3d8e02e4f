#ifndef GENTIANLUG_HTTP1_SOCKET_RULES_H
#define GENTIANLUG_HTTP1_SOCKET_RULES_H

#include <chrono>

namespace gentianlug::http1 {

/// How the kernel finds out that the other side of a connection is gone.
struct socket_rules {
  /// Sent bytes must be confirmed within this time.
  std::chrono::milliseconds UnconfirmedLimit{1000};
  /// Idle time before the first keep-alive probe, and between probes; whole
  /// seconds.
  std::chrono::seconds ProbeInterval{1};
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_SOCKET_RULES_H
