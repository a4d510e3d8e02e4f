#ifndef GENTIANLUG_OPERATOR_OPERATOR_ERRC_H
#define GENTIANLUG_OPERATOR_OPERATOR_ERRC_H

#include <system_error>

namespace gentianlug::operator_cli {

/// Errors of the `gentianlug` commands.
enum class operator_errc {
  BadArguments = 701,
  /// The command is valid, but its request was rejected.
  Refused = 702,
  PlatformDown = 703,
  TimedOut = 704,
};

std::error_code make_error_code(operator_errc Code);

} // namespace gentianlug::operator_cli

template <>
struct std::is_error_code_enum<gentianlug::operator_cli::operator_errc>
    : std::true_type {};

#endif // GENTIANLUG_OPERATOR_OPERATOR_ERRC_H
