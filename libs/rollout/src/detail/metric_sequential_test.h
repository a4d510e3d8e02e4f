#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_METRIC_SEQUENTIAL_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_METRIC_SEQUENTIAL_TEST_H

#include "gentianlug/rollout/two_sample_test.h"

#include <array>

namespace gentianlug::rollout::detail {

/// Rises of the rate that the fault test looks for, mixed in equal parts.
inline constexpr std::array<double, 3> TestedRateIncreases = {0.05, 0.25, 0.75};

/// Constants of one signal.
struct metric_test_parameters {
  /// A rise up to this is no fault.
  double MaxToleratedIncrease = 0;
  /// A rise from this on must be refuted before the share may grow; 0 when the
  /// signal does not have to be refuted.
  double MinFaultIncrease = 0;
  /// New calls that count in one block. More calls count together as this
  /// many: calls of one moment share the pauses of one VM, so they are less
  /// independent than the test assumes.
  double MaxCallsPerBlock = 0;
};

/// The sequential tests of one signal on one route.
class metric_sequential_test {
public:
  metric_sequential_test(metric_test_parameters Rules, double StartWeight)
      : Parameters(Rules), StartWeight(StartWeight) {}

  /// Adds one block, which must not be the source of \p OldRate.
  void add(two_sample_block Block, double OldRate);

  /// Returns the logarithm of the e-value against "no worse".
  double logFaultEValue() const;

  /// Returns the logarithm of the e-value against "worse by FaultyRise".
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
