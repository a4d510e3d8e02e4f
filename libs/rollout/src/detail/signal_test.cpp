#include "detail/signal_test.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout::detail {

/// Largest rate of an alternative.
static constexpr double LargestRate = 0.98;

/// Largest logarithm kept; far above any threshold.
static constexpr double LargestLog = 200;

void signal_test::add(two_sample_block Block, double OldRate) {
  if (Block.NewCalls <= 0)
    return;
  double Scale = std::min(1.0, Rules.CallsPerBlock / Block.NewCalls);
  Block.NewCalls *= Scale;
  Block.NewHits *= Scale;
  using side = two_sample_null::side;
  for (std::size_t Index = 0; Index < TestedRises.size(); ++Index) {
    two_sample_rates Worse{OldRate,
                           std::min(LargestRate, OldRate + TestedRises[Index])};
    double Log = logEValue(Block, Worse, {side::AtMost, Rules.HarmlessRise});
    double Grown =
        (Mixture[Index] + StartWeight) * std::exp(std::min(Log, LargestLog));
    Mixture[Index] = std::min(Grown, std::exp(LargestLog));
  }
  LogRefuted +=
      logEValue(Block, {OldRate, OldRate}, {side::AtLeast, Rules.FaultyRise});
}

double signal_test::logFault() const {
  double Sum = 0;
  for (double Value : Mixture)
    Sum += Value;
  return Sum > 0 ? std::log(Sum / double(Mixture.size())) : -LargestLog;
}

} // namespace gentianlug::rollout::detail
