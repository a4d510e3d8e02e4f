#ifndef GENTIANLUG_NET_NET_ERRC_H
#define GENTIANLUG_NET_NET_ERRC_H

#include <system_error>

namespace gentianlug::net {

/// Errors of sockets and HTTP.
enum class net_errc {
  ListenFailed = 601,
  /// No connection, so no byte of the request was sent.
  ConnectFailed = 602,
  /// The peer may have received the request.
  Timeout = 603,
  /// The peer may have received the request.
  ConnectionLost = 604,
  AnswerTooLarge = 605,
  Canceled = 606,
  /// The end of the connection would be the only end of the body, so that a
  /// cut body would pass as whole.
  AnswerWithoutLength = 607,
};

std::error_code make_error_code(net_errc Code);

} // namespace gentianlug::net

template <>
struct std::is_error_code_enum<gentianlug::net::net_errc> : std::true_type {};

#endif // GENTIANLUG_NET_NET_ERRC_H
