#include "gentianlug/rollout/lease_candidate.h"

namespace gentianlug::rollout {

static std::chrono::milliseconds drawDelay(generator &Gen) {
  auto MaxDelay = std::size_t(MaxCandidateDelay.count());
  return std::chrono::milliseconds(drawIndex(Gen, MaxDelay));
}

void lease_candidate::start(steady_time Now, generator &Gen) {
  Epoch = 0;
  ContendAt = Now + drawDelay(Gen);
}

bool lease_candidate::onNotice(steady_time Now, const controller_notice &Notice,
                               generator &Gen) {
  if (Notice.Epoch < Epoch)
    return false;
  Epoch = Notice.Epoch;
  if (Notice.LeaseHeld)
    ContendAt = Now + ControllerTimeout + drawDelay(Gen);
  return true;
}

} // namespace gentianlug::rollout
