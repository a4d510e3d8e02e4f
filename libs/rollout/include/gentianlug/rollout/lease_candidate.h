#ifndef GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H
#define GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/rollout/controller_notice.h"

namespace gentianlug::rollout {

/// A controller without a notice for this time is considered failed.
inline constexpr std::chrono::milliseconds ControllerTimeout{2000};

/// Largest random delay before a candidate contacts the platform. It keeps the
/// nodes beside the servers of a service from reading the lease all at once.
inline constexpr std::chrono::milliseconds MaxCandidateDelay{1000};

/// Decides when a node contends for the lease of a rollout. Candidates are the
/// nodes beside the backend servers of the service.
///
/// A candidate does not contact the platform while it receives notices of a
/// controller that holds the lease.
class lease_candidate {
public:
  /// Starts for a new rollout.
  void start(steady_time Now, generator &Gen);

  /// Handles the notice of a controller.
  ///
  /// \returns false when the notice is from an earlier epoch and is ignored.
  bool onNotice(steady_time Now, const controller_notice &Notice,
                generator &Gen);

  /// Returns whether this node should contend for the lease now.
  bool shouldContend(steady_time Now) const { return Now >= ContendAt; }

private:
  std::uint64_t Epoch = 0;
  steady_time ContendAt{};
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_LEASE_CANDIDATE_H
