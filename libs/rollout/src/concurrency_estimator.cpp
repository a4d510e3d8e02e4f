#include "gentianlug/rollout/concurrency_estimator.h"

#include "gentianlug/rollout/version_evaluator.h"

#include <cmath>

namespace gentianlug::rollout {

/// Weight of the latest period, for a moving average over about 5 s.
static constexpr double SmoothingFactor = 0.05;

/// Returns the upper bound of a bucket in seconds. Its use as the latency of
/// all calls in the bucket biases the estimate upwards.
static double bucketUpperBoundSeconds(std::size_t Bucket) {
  return std::chrono::duration<double>(LowestBucketBound).count() *
         std::exp2(double(Bucket) / 2);
}

void concurrency_estimator::add(const server_evidence &Evidence) {
  for (const route_evidence &Route : Evidence.Routes) {
    double Timed = 0;
    double Seconds = 0;
    for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index) {
      Timed += Route.Latencies[Index];
      Seconds += Route.Latencies[Index] * bucketUpperBoundSeconds(Index);
    }
    if (Timed > 0)
      MeanLatencySeconds +=
          SmoothingFactor * (Seconds / Timed - MeanLatencySeconds);
    BusySeconds += Timed > 0 ? Seconds * Route.Calls / Timed
                             : MeanLatencySeconds * Route.Calls;
  }
}

void concurrency_estimator::endPeriod() {
  double Seconds = std::chrono::duration<double>(EvaluationPeriod).count();
  SmoothedConcurrency +=
      SmoothingFactor * (BusySeconds / Seconds - SmoothedConcurrency);
  BusySeconds = 0;
}

} // namespace gentianlug::rollout
