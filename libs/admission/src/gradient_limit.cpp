#include "gentianlug/admission/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

/// Ratio of latency to its baseline up to which the limit does not shrink.
static constexpr double LatencyTolerance = 1.5;
/// Lower bound of the gradient, so that the target is at least half the limit.
static constexpr double MinGradient = 0.5;
/// Weights of a new sample in the moving average of the latency ratio, and of
/// the target in the limit.
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
  // With less than half of the limit in flight, the limit cannot be the cause
  // of the latency.
  bool MayShrink = double(Sample.InFlight) * 2 >= Limit;
  double Gradient =
      std::clamp(LatencyTolerance / SmoothedLatencyRatio, MinGradient, 1.0);
  if (Gradient < 1 && !MayShrink)
    return;
  // The square root lets the limit grow again and allows for a short queue.
  double Target = Limit * Gradient + std::sqrt(Limit);
  Limit = std::clamp(Limit + LimitWeight * (Target - Limit), 1.0, Slots);
}

} // namespace gentianlug::admission
