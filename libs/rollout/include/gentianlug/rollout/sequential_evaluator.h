#ifndef GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H

#include "gentianlug/rollout/version_evaluator.h"

#include <memory>

namespace gentianlug::rollout {

// Stated error rates and alternatives of the verdict.

/// Probability that a good version is taken back, over its whole rollout.
inline constexpr double FalseRollbackRate = 0.001;
/// Probability that a version with a fault of the size below may grow.
inline constexpr double MissedFaultRate = 0.01;
/// A rise of the error rate up to this is no fault.
inline constexpr double MaxToleratedErrorIncrease = 0.01;
/// A rise of the error rate from this on is a fault that must be found.
inline constexpr double MinFaultErrorIncrease = 0.3;
/// A latency up to this factor is no fault; it is two latency buckets.
inline constexpr double MaxToleratedLatencyFactor = 2;
/// Latencies below this are no fault: the queueing noise of a busy VM reaches
/// them without any change of version.
inline constexpr std::chrono::milliseconds MinSlowLatency{20};
/// A fault of latency lets the share of calls that are slower than the old
/// median times `MaxToleratedLatencyFactor` exceed the old share above the
/// median by this, as a version does that is four times slower.
inline constexpr double MinFaultSlowShareIncrease = 0.3;

/// Compares both versions over the same time, per route, on errors and on
/// latency, by sequential tests that may be stopped at any time.
///
/// Each route has three signals: errors, latency above the median and latency
/// above the 98th percentile of the old version. For each signal a mixture of
/// e-processes, one starting at each judgement, tests whether the new version
/// is worse; the false alarm rate is divided among all signals (Ville's
/// inequality and a union bound). Starting anew at each judgement finds faults
/// that show late, after any amount of good evidence. The share may grow when
/// a second test has refuted a fault for each signal but the tail, on each
/// route with a relevant part of the calls.
class sequential_evaluator final : public version_evaluator {
public:
  sequential_evaluator();
  ~sequential_evaluator() override;

  void start(evaluation_scope Scope) override;
  void add(version_role Side, const server_evidence &Evidence) override;
  verdict evaluate() override;
  double oldErrorRate() const override;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H
