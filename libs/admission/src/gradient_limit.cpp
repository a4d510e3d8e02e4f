#include "gentianlug/admission/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

/// Latency that may be above the usual one without a smaller limit.
static constexpr double LatencyTolerance = 1.5;
/// One step never takes more than half of the limit.
static constexpr double MinGradient = 0.5;
/// Weights of a new sample in the moving average and in the limit.
static constexpr double RatioWeight = 0.1;
static constexpr double LimitWeight = 0.2;

void gradient_limit::reset(std::uint32_t NewSlots, steady_time) {
  Slots = std::max(1U, NewSlots);
  Limit = Slots;
  SmoothedLatencyRatio = 1;
}

void gradient_limit::addSample(const call_sample &Sample) {
  if (Sample.Failed)
    return;
  SmoothedLatencyRatio +=
      RatioWeight * (Sample.LatencyRatio - SmoothedLatencyRatio);
  // Below half of the limit, latency says nothing about the limit.
  bool MayShrink = double(Sample.InFlight) * 2 >= Limit;
  double Gradient =
      std::clamp(LatencyTolerance / SmoothedLatencyRatio, MinGradient, 1.0);
  if (Gradient < 1 && !MayShrink)
    return;
  // The square root lets the limit recover and allows for a short queue.
  double Target = Limit * Gradient + std::sqrt(Limit);
  Limit = std::clamp(Limit + LimitWeight * (Target - Limit), 1.0, Slots);
}

} // namespace gentianlug::admission
