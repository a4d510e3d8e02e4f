#ifndef GENTIANLUG_DISTRIBUTION_DISTRIBUTION_ERRC_H
#define GENTIANLUG_DISTRIBUTION_DISTRIBUTION_ERRC_H

#include <system_error>

namespace gentianlug::distribution {

/// Errors of configuration updates and of peers.
enum class distribution_errc {
  /// The base version of an update is not available.
  UnknownBase = 901,
  /// A patch does not match the text that it changes.
  BadPatch = 902,
  /// A peer uses the name of another live node.
  NameInUse = 903,
};

std::error_code make_error_code(distribution_errc Code);

} // namespace gentianlug::distribution

template <>
struct std::is_error_code_enum<gentianlug::distribution::distribution_errc>
    : std::true_type {};

#endif // GENTIANLUG_DISTRIBUTION_DISTRIBUTION_ERRC_H
