#ifndef GENTIANLUG_CONFIG_CHECK_H
#define GENTIANLUG_CONFIG_CHECK_H

#include "gentianlug/config/model.h"

#include <string>
#include <vector>

namespace gentianlug::config {

/// Returns every fault of a configuration as "PATH: REASON": dangling routes
/// and rollouts, duplicate names, impossible limits.
///
/// Complexity: n log n in the number of entries.
std::vector<std::string> checkWhole(const site_configuration &Configuration);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_CHECK_H
