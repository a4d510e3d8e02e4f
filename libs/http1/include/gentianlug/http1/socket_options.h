#ifndef GENTIANLUG_HTTP1_SOCKET_OPTIONS_H
#define GENTIANLUG_HTTP1_SOCKET_OPTIONS_H

#include <chrono>

namespace gentianlug::http1 {

/// TCP options by which the kernel detects that the peer of a connection is
/// unreachable.
struct socket_options {
  /// Time within which the peer must acknowledge sent data
  /// (`TCP_USER_TIMEOUT`).
  std::chrono::milliseconds AckTimeout{1000};
  /// Idle time before the first keep-alive probe, and time between probes. The
  /// kernel takes whole seconds only.
  std::chrono::seconds KeepAliveInterval{1};
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_SOCKET_OPTIONS_H
