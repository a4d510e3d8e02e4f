#ifndef GENTIANLUG_CONFIG_COMPILE_H
#define GENTIANLUG_CONFIG_COMPILE_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/result.h"

#include <string>

namespace gentianlug::config {

/// A configuration file with its name.
struct source_file {
  std::string Path;
  std::string Text;
};

/// Merges the overlay of a site into the base and checks the result.
///
/// The overlay has the shape of the base and names only what differs: objects
/// merge by key, lists of named entries merge by name, an entry with
/// `"remove": true` is removed, other values replace.
///
/// \param Site name of the site that the overlay belongs to.
/// \param Now rollouts must finish after this time.
/// \returns the configuration, or `config_errc::InvalidConfiguration` or
/// `settings_errc::MalformedJson` with all faults, one a line.
result<site_configuration> compileSite(const site_name &Site,
                                       const source_file &Base,
                                       const source_file &Overlay,
                                       wall_time Now);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_COMPILE_H
