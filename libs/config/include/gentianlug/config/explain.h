#ifndef GENTIANLUG_CONFIG_EXPLAIN_H
#define GENTIANLUG_CONFIG_EXPLAIN_H

#include "gentianlug/config/compile.h"

namespace gentianlug::config {

/// What sets an effective value.
enum class value_source : std::uint8_t { Base, Overlay, Default };

/// One effective value with the place that it comes from.
struct value_origin {
  std::string Path;
  /// The value as JSON text.
  std::string Value;
  value_source Source = value_source::Default;
  /// Empty for a default.
  std::string File;
  std::uint32_t Line = 0;

  bool operator==(const value_origin &) const = default;
};

/// Finds the origins of an effective value, or of every value below \p Path.
///
/// Example: the path `services.commandes.limits.slots` of the sample site gives
/// one origin with the value `10`.
///
/// \returns the origins in the order of their paths, `UnknownPath` when no
/// value has this path, or the faults of the compile.
result<std::vector<value_origin>>
explainPath(const site_name &Site, const source_file &Base,
            const source_file &Overlay, const std::string &Path, wall_time Now);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_EXPLAIN_H
