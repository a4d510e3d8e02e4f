#ifndef GENTIANLUG_OPERATOR_PROGRESS_H
#define GENTIANLUG_OPERATOR_PROGRESS_H

#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/zone_state.h"
#include "gentianlug/store/zone_status.h"

#include <set>
#include <vector>

namespace gentianlug::operator_cli {

/// How far a version is in force in one zone.
struct zone_progress {
  zone_name Zone;
  std::uint32_t Current = 0;
  std::uint32_t Nodes = 0;
  /// Whether operators have taken the zone out.
  bool OutOfService = false;
};

/// How far a version is in force.
struct version_progress {
  std::vector<zone_progress> Zones;
  /// Zones in service from which no node has reported.
  std::vector<zone_name> UnreportedZones;
  /// Refusals of this version.
  std::vector<store::config_refusal> Refusals;

  /// Nodes of the zones in service; zones that are out do not count, since
  /// their machines may be off.
  std::uint32_t current() const;
  std::uint32_t nodes() const;

  /// True when every zone in service has reported and all its nodes hold the
  /// version or a later one.
  bool isComplete() const {
    return UnreportedZones.empty() && nodes() > 0 && current() == nodes();
  }
};

/// Counts the nodes that hold \p Version or a later one.
///
/// \param Known the zones of the configuration.
/// \param Out the zones that operators have taken out.
version_progress progressOf(const std::vector<store::zone_status> &Zones,
                            config_version Version,
                            const std::set<zone_name> &Known,
                            const store::zone_state &Out);

/// Where a rollout stands for somebody who waits for its end.
enum class rollout_outcome : std::uint8_t { InProgress, Completed, RolledBack };

/// A rollout that is not done at its time counts as taken back.
rollout_outcome outcomeOf(const rollout::rollout_state &State, wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_PROGRESS_H
