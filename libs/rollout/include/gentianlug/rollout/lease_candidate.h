#ifndef GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H
#define GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/rollout/controller_notice.h"

namespace gentianlug::rollout {

/// A controller that sent no notice for this time is taken to be gone.
inline constexpr std::chrono::milliseconds ControllerTimeout{2000};

/// Longest random delay before a candidate turns to the platform, so that not
/// all nodes beside a service's servers read the lease at once.
inline constexpr std::chrono::milliseconds MaxCandidateDelay{1000};

/// Decides when a node beside a server of a moving service contends for the
/// lease of the rollout.
///
/// As long as notices of a controller that holds the lease arrive, a candidate
/// makes no call to the platform.
class lease_candidate {
public:
  /// Starts for one rollout.
  void start(steady_time Now, generator &Gen);

  /// Handles a notice of another node.
  ///
  /// \returns whether it is of the newest known epoch and counts.
  bool onNotice(steady_time Now, const controller_notice &Notice,
                generator &Gen);

  /// Returns whether this node shall contend for the lease now.
  bool shouldContend(steady_time Now) const { return Now >= ContendAt; }

private:
  std::uint64_t Epoch = 0;
  steady_time ContendAt{};
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H
