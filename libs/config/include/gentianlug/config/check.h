#ifndef GENTIANLUG_CONFIG_CHECK_H
#define GENTIANLUG_CONFIG_CHECK_H

#include "gentianlug/config/model.h"

#include <set>
#include <string>
#include <vector>

namespace gentianlug::config {

/// Maximum number of services in a call chain, including the first and the
/// last.
inline constexpr std::size_t MaxCallDepth = 11;

/// A validation fault at a configuration path, for example
/// `routes.orders.service`.
struct config_fault {
  std::string Path;
  std::string Reason;

  bool operator==(const config_fault &) const = default;
};

/// Validates the cross-references and limits of a configuration and returns all
/// faults: routes, calls and rollouts that name unknown services, duplicate
/// names and path prefixes, zones without a region, limits that no call can
/// satisfy, call cycles, and call chains longer than `MaxCallDepth`.
///
/// Complexity: O(n log n) in the number of entries.
std::vector<config_fault>
checkConfiguration(const site_configuration &Configuration);

/// Minimum time between acceptance and finish time of a rollout. The controller
/// decides at least 5 s before the finish time and needs the time before that
/// to collect evidence.
inline constexpr std::chrono::seconds MinRolloutTime{30};

/// Returns a fault for each rollout whose finish time is less than
/// `MinRolloutTime` after \p Now.
///
/// \param ActiveRollouts ids of rollouts that are already active. Their finish
/// times were validated on acceptance; checking them again would reject
/// unrelated changes near the end of a rollout.
std::vector<config_fault>
checkFinishTimes(const site_configuration &Configuration, wall_time Now,
                 const std::set<std::string> &ActiveRollouts);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_CHECK_H
