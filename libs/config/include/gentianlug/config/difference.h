#ifndef GENTIANLUG_CONFIG_DIFFERENCE_H
#define GENTIANLUG_CONFIG_DIFFERENCE_H

#include "gentianlug/config/model.h"

#include <string>
#include <vector>

namespace gentianlug::config {

enum class change_kind : std::uint8_t { Added, Changed, Removed };

/// A changed field of an entry. The values are JSON text; an absent value is
/// empty.
struct field_change {
  std::string Field;
  std::string Before;
  std::string After;

  bool operator==(const field_change &) const = default;
};

/// An added, changed or removed entry.
struct config_change {
  change_kind Kind = change_kind::Changed;
  /// Key of the list in the configuration files, for example "services", or
  /// "site" for site-level values.
  std::string Section;
  std::string Name;
  /// Changed fields; for an added or removed entry, all of its fields.
  std::vector<field_change> Fields;
};

/// Compares two configurations of a site entry by entry.
///
/// \returns the changes sorted by section. Within a section, added and changed
/// entries come first, then removed ones, each group sorted by name.
///
/// Complexity: O(n log n) in the number of entries.
std::vector<config_change>
compareConfigurations(const site_configuration &Before,
                      const site_configuration &After);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_DIFFERENCE_H
