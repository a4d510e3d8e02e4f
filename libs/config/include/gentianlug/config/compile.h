#ifndef GENTIANLUG_CONFIG_COMPILE_H
#define GENTIANLUG_CONFIG_COMPILE_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/result.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentianlug::config {

/// A configuration file with its name.
struct source_file {
  std::string Path;
  std::string Text;
};

/// What is wrong with one place of one file.
struct compile_fault {
  std::string File;
  std::uint32_t Line = 1;
  /// Effective path, for example `services.commandes.limits.slots`; empty for
  /// the whole file.
  std::string Path;
  std::string Reason;

  /// Returns "FILE:LINE: PATH: REASON".
  std::string str() const;

  auto operator<=>(const compile_fault &) const = default;
};

/// What one compile reads.
struct compile_input {
  source_file Base;
  std::vector<std::pair<site_name, source_file>> Overlays;
  /// New rollouts must finish after this time.
  wall_time Now;
  /// Ids of the rollouts in force; their times are not checked again.
  std::set<std::string> RolloutsInForce;
};

/// The sites that compiled, in the order of the overlays, and every fault.
struct compile_output {
  std::vector<site_configuration> Sites;
  std::vector<compile_fault> Faults;
};

/// Merges each overlay into the base and checks the results.
///
/// \returns every fault of all files, each once, sorted by file and line. A
/// configuration may be accepted only when there is none.
///
/// Complexity: n log n in the size of the files.
compile_output compileAll(const compile_input &Input);

/// Compiles one site.
///
/// \returns the configuration, or `config_errc::InvalidConfiguration` with all
/// faults, one a line.
result<site_configuration> compileSite(const site_name &Site,
                                       const source_file &Base,
                                       const source_file &Overlay,
                                       wall_time Now);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_COMPILE_H
