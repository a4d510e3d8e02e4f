#ifndef GENTIANLUG_ROLLOUT_FIXED_THRESHOLD_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_FIXED_THRESHOLD_EVALUATOR_H

#include "gentianlug/rollout/version_evaluator.h"

namespace gentianlug::rollout {

/// An error rate of the new version above this is a fault.
inline constexpr double FixedErrorThreshold = 0.05;
/// Minimum number of calls of the new version for the threshold to apply.
inline constexpr std::uint64_t FixedMinCalls = 20;

/// Compares the error rate of the new version with a fixed threshold, without
/// regard to the old version. Serves as the baseline of the experiments.
class fixed_threshold_evaluator final : public version_evaluator {
public:
  void start(evaluation_scope Scope) override;
  void add(version_role Role, const server_evidence &Evidence) override;
  verdict evaluate() override;
  double oldErrorRate() const override;

private:
  struct counts {
    std::uint64_t Calls = 0;
    std::uint64_t Errors = 0;
  };
  counts Old;
  counts New;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_FIXED_THRESHOLD_EVALUATOR_H
