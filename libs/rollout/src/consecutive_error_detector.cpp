#include "gentianlug/rollout/consecutive_error_detector.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

/// Upper bound of the assumed error rate of the old version. It keeps the
/// threshold finite.
static constexpr double MaxOldErrorRate = 0.9;

void consecutive_error_detector::start(double OldErrorRate) {
  setOldErrorRate(OldErrorRate);
  ConsecutiveErrors.clear();
}

void consecutive_error_detector::setOldErrorRate(double OldErrorRate) {
  double Rate = std::clamp(OldErrorRate, MinOldErrorRate, MaxOldErrorRate);
  ErrorThreshold =
      std::uint32_t(std::ceil(std::log(FalseQuarantineRate) / std::log(Rate)));
}

bool consecutive_error_detector::add(const server_evidence &Evidence) {
  bool ThresholdReached = false;
  for (const route_evidence &Route : Evidence.Routes) {
    if (Route.Calls == 0)
      continue;
    if (ConsecutiveErrors.size() >= MaxMonitoredRoutes &&
        !ConsecutiveErrors.contains(Route.Route))
      continue;
    // The order of the calls within a period is unknown, so any success in a
    // period ends the run.
    std::uint32_t &Run = ConsecutiveErrors[Route.Route];
    Run = Route.Errors >= Route.Calls ? Run + Route.Errors : 0;
    ThresholdReached = ThresholdReached || Run >= ErrorThreshold;
  }
  return ThresholdReached && ErrorThreshold > 0;
}

} // namespace gentianlug::rollout
