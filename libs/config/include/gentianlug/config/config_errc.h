#ifndef GENTIANLUG_CONFIG_CONFIG_ERRC_H
#define GENTIANLUG_CONFIG_CONFIG_ERRC_H

#include <system_error>

namespace gentianlug::config {

/// Errors from compiling, validating and assembling configurations.
enum class config_errc {
  InvalidConfiguration = 301,
  UnknownSite = 302,
  MissingPart = 303,
  HashMismatch = 304,
  MalformedPart = 305,
  UnknownPath = 306,
};

std::error_code make_error_code(config_errc Code);

} // namespace gentianlug::config

template <>
struct std::is_error_code_enum<gentianlug::config::config_errc>
    : std::true_type {};

#endif // GENTIANLUG_CONFIG_CONFIG_ERRC_H
