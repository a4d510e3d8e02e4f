#include "gentianlug/rollout/candidacy.h"

namespace gentianlug::rollout {

static std::chrono::milliseconds drawDelay(generator &Gen) {
  auto Longest = std::size_t(LongestCandidateDelay.count());
  return std::chrono::milliseconds(drawIndex(Gen, Longest));
}

void candidacy::start(steady_time Now, generator &Gen) {
  Epoch = 0;
  ContendFrom = Now + drawDelay(Gen);
}

bool candidacy::onNotice(steady_time Now, const steering_notice &Notice,
                         generator &Gen) {
  if (Notice.Epoch < Epoch)
    return false;
  Epoch = Notice.Epoch;
  if (Notice.Held)
    ContendFrom = Now + ControllerSilence + drawDelay(Gen);
  return true;
}

} // namespace gentianlug::rollout
