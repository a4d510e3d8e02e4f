#ifndef GENTIANLUG_OPERATOR_PROGRESS_H
#define GENTIANLUG_OPERATOR_PROGRESS_H

#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/zone_state.h"
#include "gentianlug/store/zone_status.h"

#include <set>
#include <vector>

namespace gentianlug::operator_cli {

/// Number of nodes of one zone on which a version is in force.
struct zone_progress {
  zone_name Zone;
  /// Nodes that have the version or a later one in force.
  std::uint32_t Current = 0;
  /// All nodes that have reported.
  std::uint32_t Nodes = 0;
  /// True when operators have taken the zone out of service.
  bool OutOfService = false;
};

/// Progress of a configuration version towards being in force everywhere.
struct version_progress {
  std::vector<zone_progress> Zones;
  /// Zones in service from which no node has reported.
  std::vector<zone_name> UnreportedZones;
  /// Refusals of this version by nodes.
  std::vector<store::config_refusal> Refusals;

  /// Returns the number of nodes that have the version or a later one in force.
  /// Only zones in service count: the machines of other zones may be off.
  std::uint32_t current() const;
  /// Returns the number of all nodes in zones in service.
  std::uint32_t nodes() const;

  /// Returns true when every zone in service has reported and all its nodes
  /// have the version or a later one in force.
  bool isComplete() const {
    return UnreportedZones.empty() && nodes() > 0 && current() == nodes();
  }
};

/// Counts the nodes that have \p Version or a later one in force.
///
/// \param ConfiguredZones the zones of the configuration.
/// \param State the zones that operators have taken out of service.
version_progress computeProgress(
    const std::vector<store::zone_status> &Statuses, config_version Version,
    const std::set<zone_name> &ConfiguredZones, const store::zone_state &State);

/// Outcome of a rollout as `wait` reports it.
enum class rollout_outcome : std::uint8_t { InProgress, Completed, RolledBack };

/// Returns the outcome at \p Now. A rollout that is not completed at its finish
/// time counts as rolled back.
rollout_outcome outcomeOf(const rollout::rollout_state &State, wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_PROGRESS_H
