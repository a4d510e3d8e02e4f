#ifndef GENTIANLUG_ROLLOUT_LOAD_ESTIMATE_H
#define GENTIANLUG_ROLLOUT_LOAD_ESTIMATE_H

#include "gentianlug/rollout/evidence.h"

namespace gentianlug::rollout {

/// Estimates how many calls of a service run at a time, by Little's law: rate
/// times latency.
class load_estimate {
public:
  /// Adds evidence of one server of either version.
  void add(const server_evidence &Evidence);

  /// Ends one judgement period.
  void closePeriod();

  double callsAtATime() const { return Smoothed; }

private:
  /// Work that arrived in the running period, in seconds.
  double BusySeconds = 0;
  /// Mean latency of timed calls, for calls without a latency.
  double MeanSeconds = 0;
  double Smoothed = 0;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_LOAD_ESTIMATE_H
