#include "gentianlug/rollout/version_split.h"

#include <algorithm>

namespace gentianlug::rollout {

static double newShare(const rollout_state &State, wall_time FinishBy,
                       wall_time Now, bool Idempotent) {
  if (State.Phase == rollout_phase::Completed)
    return 1;
  bool Running = State.Phase == rollout_phase::Progressing ||
                 State.Phase == rollout_phase::Paused;
  if (!Running || Now >= FinishBy)
    return 0;
  double Share = Idempotent ? State.Share : State.NonIdempotentShare;
  return std::clamp(Share, 0.0, 1.0);
}

version_split splitVersions(const config::service &Service,
                            const config::rollout *Rollout,
                            const rollout_state *State, wall_time Now,
                            bool Idempotent) {
  version_split Split{Service.Version, {}, 0};
  if (!Rollout || !State || State->Id != Rollout->id())
    return Split;
  Split.NewShare = newShare(*State, Rollout->FinishBy, Now, Idempotent);
  if (Split.NewShare > 0)
    Split.NewVersion = Rollout->Version;
  return Split;
}

} // namespace gentianlug::rollout
