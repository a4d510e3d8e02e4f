#ifndef GENTIANLUG_SETTINGS_SETTINGS_ERRC_H
#define GENTIANLUG_SETTINGS_SETTINGS_ERRC_H

#include <system_error>

namespace gentianlug::settings {

/// Errors from reading settings and configuration files.
enum class settings_errc {
  UnreadableFile = 201,
  MalformedJson = 202,
  InvalidField = 203,
};

std::error_code make_error_code(settings_errc Code);

} // namespace gentianlug::settings

template <>
struct std::is_error_code_enum<gentianlug::settings::settings_errc>
    : std::true_type {};

#endif // GENTIANLUG_SETTINGS_SETTINGS_ERRC_H
