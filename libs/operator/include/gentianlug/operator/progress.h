#ifndef GENTIANLUG_OPERATOR_PROGRESS_H
#define GENTIANLUG_OPERATOR_PROGRESS_H

#include "gentianlug/platform/zone_status.h"
#include "gentianlug/rollout/rollout_state.h"

#include <vector>

namespace gentianlug::operator_cli {

/// How far a version is in force in one zone.
struct zone_progress {
  zone_name Zone;
  std::uint32_t Current = 0;
  std::uint32_t Nodes = 0;
};

/// How far a version is in force.
struct version_progress {
  std::vector<zone_progress> Zones;
  /// Refusals of this version.
  std::vector<platform::config_refusal> Refusals;

  std::uint32_t current() const;
  std::uint32_t nodes() const;

  /// True when at least one node has reported and every node that has holds
  /// the version or a later one.
  bool everywhere() const { return nodes() > 0 && current() == nodes(); }
};

/// Counts the nodes that hold \p Version or a later one.
version_progress progressOf(const std::vector<platform::zone_status> &Zones,
                            config_version Version);

/// Where a rollout stands for somebody who waits for its end.
enum class rollout_outcome : std::uint8_t { Open, Done, TakenBack };

/// A rollout that is not done at its time counts as taken back.
rollout_outcome outcomeOf(const rollout::rollout_state &State, wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_PROGRESS_H
