#ifndef GENTIANLUG_CONFIG_DIFFERENCE_H
#define GENTIANLUG_CONFIG_DIFFERENCE_H

#include "gentianlug/config/model.h"

#include <string>
#include <vector>

namespace gentianlug::config {

enum class change_kind : std::uint8_t { Added, Changed, Removed };

/// One value of an entry that differs, as JSON text; an absent one is empty.
struct field_change {
  std::string Field;
  std::string Before;
  std::string After;

  bool operator==(const field_change &) const = default;
};

/// One entry that a change adds, changes or removes.
struct config_change {
  change_kind Kind = change_kind::Changed;
  /// Key of the list in the files, for example "services"; "site" for the
  /// values of the site itself.
  std::string Section;
  std::string Name;
  /// The values that differ; all values of an added or removed entry.
  std::vector<field_change> Fields;
};

/// Compares two configurations of a site entry by entry.
///
/// \returns the changes by section, and by name within one.
///
/// Complexity: n log n in the number of entries.
std::vector<config_change>
compareConfigurations(const site_configuration &Before,
                      const site_configuration &After);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_DIFFERENCE_H
