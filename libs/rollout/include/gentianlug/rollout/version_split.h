#ifndef GENTIANLUG_ROLLOUT_VERSION_SPLIT_H
#define GENTIANLUG_ROLLOUT_VERSION_SPLIT_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/rollout/rollout_state.h"

namespace gentianlug::rollout {

/// How the calls of a service are split between two versions.
struct version_split {
  /// The configured version of the service; it gets the rest of the calls.
  version_name OldVersion;
  /// The version of the rollout; empty when `NewShare` is 0.
  version_name NewVersion;
  /// Share of calls for `New`, 0 to 1.
  double NewShare = 0;

  bool operator==(const version_split &) const = default;
};

/// Returns where the calls of a service go. Every node evaluates this by
/// itself, so a rollout ends at its time without controller or platform.
///
/// - A state of another rollout id than the configured one is ignored.
/// - Without a state the new version gets nothing.
/// - From the finish time on, a rollout that is not `Done` counts as taken
///   back.
///
/// \param Service the service with its configured version.
/// \param Rollout the rollout of the service, or null.
/// \param State the newest known state of the service's rollout, or null.
/// \param Idempotent whether the call may run more than once.
///
/// Example: `splitVersions(Service, &Rollout, nullptr, Now, true).NewShare`
/// is 0.
version_split splitVersions(const config::service &Service,
                            const config::rollout *Rollout,
                            const rollout_state *State, wall_time Now,
                            bool Idempotent);

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_VERSION_SPLIT_H
