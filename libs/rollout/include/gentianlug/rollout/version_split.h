#ifndef GENTIANLUG_ROLLOUT_VERSION_SPLIT_H
#define GENTIANLUG_ROLLOUT_VERSION_SPLIT_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/rollout/rollout_state.h"

namespace gentianlug::rollout {

/// Split of the calls of a service between two versions.
struct version_split {
  /// The configured version of the service, which gets the remaining calls.
  version_name OldVersion;
  /// The new version of the rollout; empty when `NewShare` is 0.
  version_name NewVersion;
  /// Share of calls for `New`, 0 to 1.
  double NewShare = 0;

  bool operator==(const version_split &) const = default;
};

/// Returns the split of the calls of a service. Each node computes it locally,
/// so that a rollout ends at its finish time even without controller and
/// platform.
///
/// - A state whose id differs from that of the configured rollout is ignored.
/// - Without a state, the new version gets no calls.
/// - From the finish time on, a rollout that is not `Completed` is treated as
///   rolled back.
///
/// \param Service the service with its configured version.
/// \param Rollout the rollout of the service, or null.
/// \param State the latest known state of the rollout, or null.
/// \param Idempotent whether the calls are idempotent.
///
/// Example: `splitVersions(Service, &Rollout, nullptr, Now, true).NewShare`
/// is 0.
version_split splitVersions(const config::service &Service,
                            const config::rollout *Rollout,
                            const rollout_state *State, wall_time Now,
                            bool Idempotent);

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_VERSION_SPLIT_H
