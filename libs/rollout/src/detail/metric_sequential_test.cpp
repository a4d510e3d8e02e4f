#include "detail/metric_sequential_test.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout::detail {

/// Upper bound of the rate of an alternative.
static constexpr double MaxAlternativeRate = 0.98;

/// Upper bound of the logarithm of an e-value, far above any threshold.
static constexpr double MaxLogEValue = 200;

void metric_sequential_test::add(two_sample_block Block, double OldRate) {
  if (Block.NewCalls <= 0)
    return;
  double Scale = std::min(1.0, Parameters.MaxCallsPerBlock / Block.NewCalls);
  Block.NewCalls *= Scale;
  Block.NewHits *= Scale;
  using side = two_sample_null::side;
  for (std::size_t Index = 0; Index < TestedRateIncreases.size(); ++Index) {
    two_sample_rates Alternative{
        OldRate,
        std::min(MaxAlternativeRate, OldRate + TestedRateIncreases[Index])};
    double Log = logEValue(Block, Alternative,
                           {side::AtMost, Parameters.MaxToleratedIncrease});
    double Updated =
        (Mixture[Index] + StartWeight) * std::exp(std::min(Log, MaxLogEValue));
    Mixture[Index] = std::min(Updated, std::exp(MaxLogEValue));
  }
  LogRefutationEValue += logEValue(
      Block, {OldRate, OldRate}, {side::AtLeast, Parameters.MinFaultIncrease});
}

double metric_sequential_test::logFaultEValue() const {
  double Sum = 0;
  for (double Value : Mixture)
    Sum += Value;
  return Sum > 0 ? std::log(Sum / double(Mixture.size())) : -MaxLogEValue;
}

} // namespace gentianlug::rollout::detail
