#ifndef GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H

#include "gentianlug/rollout/version_evaluator.h"

#include <memory>

namespace gentianlug::rollout {

// Error rates and alternative hypotheses of the evaluation.

/// Probability that a good version is rolled back, over its whole rollout.
inline constexpr double FalseRollbackRate = 0.001;
/// Probability that a version with a fault of at least the size below gets a
/// `Pass` verdict.
inline constexpr double MissedFaultRate = 0.01;
/// An increase of the error rate up to this is not a fault.
inline constexpr double MaxToleratedErrorIncrease = 0.01;
/// An increase of the error rate by at least this is a fault that must be
/// detected.
inline constexpr double MinFaultErrorIncrease = 0.3;
/// An increase of the latency up to this factor, two latency buckets, is not a
/// fault.
inline constexpr double MaxToleratedLatencyFactor = 2;
/// Latencies below this are not a fault: queueing on a busy VM causes them
/// without any change of version.
inline constexpr std::chrono::milliseconds MinSlowLatency{20};
/// Latency is faulty when the share of new calls slower than the old median
/// times `MaxToleratedLatencyFactor` exceeds the share of old calls above the
/// old median by at least this. A version with four times the latency does.
inline constexpr double MinFaultSlowShareIncrease = 0.3;

/// Compares both versions over the same time, per route, on errors and on
/// latency, by sequential tests that may be stopped at any time.
///
/// Each route has three metrics: errors, latency above the median and latency
/// above the 98th percentile of the old version. For each metric, a mixture of
/// e-processes, one starting at each evaluation, tests whether the new version
/// is worse. The false alarm rate is divided among all metrics (Ville's
/// inequality and a union bound). Because a process starts at each evaluation,
/// a fault that appears late is detected despite any amount of earlier good
/// evidence. The verdict is `Pass` when a second test has ruled out a fault in
/// errors and in median latency on each route with a relevant fraction of the
/// calls.
class sequential_evaluator final : public version_evaluator {
public:
  sequential_evaluator();
  ~sequential_evaluator() override;

  void start(evaluation_scope Scope) override;
  void add(version_role Role, const server_evidence &Evidence) override;
  verdict evaluate() override;
  double oldErrorRate() const override;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_SEQUENTIAL_EVALUATOR_H
