#ifndef GENTIANLUG_WIRE_WIRE_ERRC_H
#define GENTIANLUG_WIRE_WIRE_ERRC_H

#include <system_error>

namespace gentianlug::wire {

/// Errors from decoding messages.
enum class wire_errc {
  MalformedMessage = 501,
};

std::error_code make_error_code(wire_errc Code);

} // namespace gentianlug::wire

template <>
struct std::is_error_code_enum<gentianlug::wire::wire_errc> : std::true_type {};

#endif // GENTIANLUG_WIRE_WIRE_ERRC_H
