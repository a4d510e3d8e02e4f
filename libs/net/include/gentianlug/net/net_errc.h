#ifndef GENTIANLUG_NET_NET_ERRC_H
#define GENTIANLUG_NET_NET_ERRC_H

#include <system_error>

namespace gentianlug::net {

/// Socket and HTTP errors.
enum class net_errc {
  ListenFailed = 601,
  /// No connection was established, so no byte of the request was sent.
  ConnectFailed = 602,
  /// The peer may have received the request.
  Timeout = 603,
  /// The peer may have received the request.
  ConnectionLost = 604,
  ResponseTooLarge = 605,
  Canceled = 606,
  /// Only the close of the connection would delimit the body, so a truncated
  /// body could not be detected.
  ResponseWithoutLength = 607,
  /// The peer sent bytes that are no valid HTTP response. It may have processed
  /// the request.
  MalformedResponse = 608,
};

std::error_code make_error_code(net_errc Code);

} // namespace gentianlug::net

template <>
struct std::is_error_code_enum<gentianlug::net::net_errc> : std::true_type {};

#endif // GENTIANLUG_NET_NET_ERRC_H
