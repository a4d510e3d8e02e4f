#ifndef GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H
#define GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H

#include "gentianlug/rollout/evidence.h"

namespace gentianlug::rollout {

/// Estimates the number of concurrent calls of a service by Little's law, as
/// call rate times latency.
class concurrency_estimator {
public:
  /// Adds evidence of one server of either version.
  void add(const server_evidence &Evidence);

  /// Ends an evaluation period and updates the estimate.
  void endPeriod();

  double concurrentCalls() const { return SmoothedConcurrency; }

private:
  /// Sum of the latencies of the calls in the current period.
  double BusySeconds = 0;
  /// Moving average of the latency, used for reports without latencies.
  double MeanLatencySeconds = 0;
  double SmoothedConcurrency = 0;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H
