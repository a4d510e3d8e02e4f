#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_METRIC_SEQUENTIAL_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_METRIC_SEQUENTIAL_TEST_H

#include "gentianlug/rollout/two_sample_test.h"

#include <array>

namespace gentianlug::rollout::detail {

/// Increases of the rate that are alternatives of the fault test, with equal
/// weights.
inline constexpr std::array<double, 3> TestedRateIncreases = {0.05, 0.25, 0.75};

/// Parameters of the tests of one metric.
struct metric_test_parameters {
  /// An increase up to this is not a fault.
  double MaxToleratedIncrease = 0;
  /// An increase by at least this must be rejected before the verdict is
  /// `Pass`; 0 when the metric has no such condition.
  double MinFaultIncrease = 0;
  /// Largest weight of the new calls in one block. Larger numbers of calls are
  /// scaled down to it: calls at the same time are affected by the same pauses
  /// of a VM, so that they are less independent than the test assumes.
  double MaxCallsPerBlock = 0;
};

/// The sequential tests of one metric on one route.
class metric_sequential_test {
public:
  metric_sequential_test(metric_test_parameters Parameters, double StartWeight)
      : Parameters(Parameters), StartWeight(StartWeight) {}

  /// Adds one block. \p OldRate must be computed without the calls in it.
  void add(two_sample_block Block, double OldRate);

  /// Returns the logarithm of the e-value against the null hypothesis that the
  /// rate has increased by at most `MaxToleratedIncrease`.
  double logFaultEValue() const;

  /// Returns the logarithm of the e-value against the null hypothesis that the
  /// rate has increased by at least `MinFaultIncrease`.
  double logRefutationEValue() const { return LogRefutationEValue; }

private:
  metric_test_parameters Parameters;
  /// Weight of the e-process that starts at each block.
  double StartWeight;
  std::array<double, TestedRateIncreases.size()> Mixture{};
  double LogRefutationEValue = 0;
};

} // namespace gentianlug::rollout::detail

#endif // GENTIANLUG_ROLLOUT_SRC_DETAIL_METRIC_SEQUENTIAL_TEST_H
