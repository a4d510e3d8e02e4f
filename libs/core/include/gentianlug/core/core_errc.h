#ifndef GENTIANLUG_CORE_CORE_ERRC_H
#define GENTIANLUG_CORE_CORE_ERRC_H

#include <system_error>

namespace gentianlug {

/// Errors of the core library.
enum class core_errc {
  InvalidAddress = 101,
};

std::error_code make_error_code(core_errc Code);

} // namespace gentianlug

template <>
struct std::is_error_code_enum<gentianlug::core_errc> : std::true_type {};

#endif // GENTIANLUG_CORE_CORE_ERRC_H
