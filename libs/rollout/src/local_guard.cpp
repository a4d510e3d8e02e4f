#include "gentianlug/rollout/local_guard.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

/// With a higher error rate of the old version no run is long enough.
static constexpr double LargestErrorRate = 0.9;

void local_guard::start(double OldErrorRate) {
  setOldErrorRate(OldErrorRate);
  Runs.clear();
}

void local_guard::setOldErrorRate(double OldErrorRate) {
  double Rate = std::clamp(OldErrorRate, LeastErrorRate, LargestErrorRate);
  RunLength = std::uint32_t(std::ceil(std::log(FalseRunRate) / std::log(Rate)));
}

bool local_guard::add(const server_evidence &Evidence) {
  bool Cut = false;
  for (const route_evidence &Route : Evidence.Routes) {
    if (Route.Calls == 0)
      continue;
    if (Runs.size() >= MaxGuardedRoutes && !Runs.contains(Route.Route))
      continue;
    // The order of the calls within a period is unknown; a period with any
    // success ends the run.
    std::uint32_t &Run = Runs[Route.Route];
    Run = Route.Errors >= Route.Calls ? Run + Route.Errors : 0;
    Cut = Cut || Run >= RunLength;
  }
  return Cut && RunLength > 0;
}

} // namespace gentianlug::rollout
