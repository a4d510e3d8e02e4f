#ifndef GENTIANLUG_CONFIG_COMPILE_H
#define GENTIANLUG_CONFIG_COMPILE_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/result.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianlug::config {

/// Path and content of a configuration file.
struct source_file {
  std::string Path;
  std::string Text;
};

/// A fault at a location in a configuration file.
struct compile_fault {
  std::string File;
  std::uint32_t Line = 1;
  /// Effective path, for example `services.commandes.limits.slots`; empty if
  /// the fault concerns the whole file.
  std::string Path;
  std::string Reason;

  /// Returns "FILE:LINE: PATH: REASON".
  std::string str() const;

  auto operator<=>(const compile_fault &) const = default;
};

/// Input of `compileAll`.
struct compile_input {
  source_file Base;
  std::vector<std::pair<site_name, source_file>> Overlays;
  /// Time that the finish times of new rollouts are checked against.
  wall_time Now;
  /// Ids of active rollouts, whose finish times are not checked again.
  std::set<std::string> ActiveRollouts;
};

/// The compiled sites, in the order of the overlays, and all faults found.
struct compile_output {
  std::vector<site_configuration> Sites;
  std::vector<compile_fault> Faults;
};

/// Merges each overlay into the base and validates the results.
///
/// \returns the sites and the faults of all files, without duplicates and
/// sorted by file and line. A configuration must not be accepted unless the
/// list of faults is empty.
///
/// Complexity: O(n log n) in the size of the files.
compile_output compileAll(const compile_input &Input);

/// Compiles a single site.
///
/// \returns the configuration, or `config_errc::InvalidConfiguration` listing
/// all faults, one per line.
result<site_configuration> compileSite(const site_name &Site,
                                       const source_file &Base,
                                       const source_file &Overlay,
                                       wall_time Now);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_COMPILE_H
