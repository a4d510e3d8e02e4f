#include "gentianlug/rollout/load_estimate.h"

#include "gentianlug/rollout/verdict_policy.h"

#include <cmath>

namespace gentianlug::rollout {

/// Weight of the newest period; about 5 s are remembered.
static constexpr double Smoothing = 0.05;

/// Returns the upper bound of a bucket in seconds, so that the load is rather
/// overestimated.
static double bucketSeconds(std::size_t Bucket) {
  return std::chrono::duration<double>(LowestBucket).count() *
         std::exp2(double(Bucket) / 2);
}

void load_estimate::add(const server_evidence &Evidence) {
  for (const route_evidence &Route : Evidence.Routes) {
    double Timed = 0;
    double Seconds = 0;
    for (std::size_t Index = 0; Index < LatencyBuckets; ++Index) {
      Timed += Route.Latencies[Index];
      Seconds += Route.Latencies[Index] * bucketSeconds(Index);
    }
    if (Timed > 0)
      MeanSeconds += Smoothing * (Seconds / Timed - MeanSeconds);
    BusySeconds +=
        Timed > 0 ? Seconds * Route.Calls / Timed : MeanSeconds * Route.Calls;
  }
}

void load_estimate::closePeriod() {
  double Seconds = std::chrono::duration<double>(JudgementPeriod).count();
  Smoothed += Smoothing * (BusySeconds / Seconds - Smoothed);
  BusySeconds = 0;
}

} // namespace gentianlug::rollout
