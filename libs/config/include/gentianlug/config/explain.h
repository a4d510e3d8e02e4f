#ifndef GENTIANLUG_CONFIG_EXPLAIN_H
#define GENTIANLUG_CONFIG_EXPLAIN_H

#include "gentianlug/config/compile.h"

namespace gentianlug::config {

/// Source that provides an effective value.
enum class value_source : std::uint8_t { Base, Overlay, Default };

/// An effective value and the location that provides it.
struct value_origin {
  std::string Path;
  /// Value as JSON text.
  std::string Value;
  value_source Source = value_source::Default;
  /// Empty for a default value.
  std::string File;
  std::uint32_t Line = 0;

  bool operator==(const value_origin &) const = default;
};

/// Finds the origin of the effective value at \p Path, or of every value below
/// it if the value is an object.
///
/// Example: the path `services.commandes.limits.slots` of the sample site gives
/// one origin with the value `10`.
///
/// \returns the origins sorted by path, `UnknownPath` if there is no value at
/// this path, or the faults found when compiling the files.
result<std::vector<value_origin>>
explainPath(const site_name &Site, const source_file &Base,
            const source_file &Overlay, const std::string &Path, wall_time Now);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_EXPLAIN_H
