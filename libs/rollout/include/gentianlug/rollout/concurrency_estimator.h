#ifndef GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H
#define GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H

#include "gentianlug/rollout/evidence.h"

namespace gentianlug::rollout {

/// Estimates how many calls of a service run at a time, by Little's law: rate
/// times latency.
class concurrency_estimator {
public:
  /// Adds evidence of one server of either version.
  void add(const server_evidence &Evidence);

  /// Ends one judgement period.
  void endPeriod();

  double concurrentCalls() const { return SmoothedConcurrency; }

private:
  /// Work that arrived in the running period, in seconds.
  double BusySeconds = 0;
  /// Mean latency of timed calls, for calls without a latency.
  double MeanLatencySeconds = 0;
  double SmoothedConcurrency = 0;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONCURRENCY_ESTIMATOR_H
