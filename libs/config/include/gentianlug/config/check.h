#ifndef GENTIANLUG_CONFIG_CHECK_H
#define GENTIANLUG_CONFIG_CHECK_H

#include "gentianlug/config/model.h"

#include <set>
#include <string>
#include <vector>

namespace gentianlug::config {

/// Longest chain of services that call each other, first and last counted.
inline constexpr std::size_t MaxCallDepth = 11;

/// What is wrong with the entry at one path, for example
/// `routes.orders.service`.
struct config_fault {
  std::string Path;
  std::string Reason;

  bool operator==(const config_fault &) const = default;
};

/// Returns every fault of a configuration as a whole: dangling routes, calls
/// and rollouts, duplicate names and path prefixes, zones without region,
/// impossible limits, cycles and too deep chains of calls.
///
/// Complexity: n log n in the number of entries.
std::vector<config_fault> checkWhole(const site_configuration &Configuration);

/// Shortest time that a rollout needs: the controller decides at least 5 s
/// before the finish time, and evidence has to be gathered before.
inline constexpr std::chrono::seconds MinRolloutTime{30};

/// Returns the rollouts that cannot finish by their time.
///
/// \param InForce ids of rollouts that are in force already; their times were
/// checked when they were accepted, so an unrelated change stays possible.
std::vector<config_fault>
checkFinishTimes(const site_configuration &Configuration, wall_time Now,
                 const std::set<std::string> &InForce);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_CHECK_H
