#include "gentianlug/rollout/two_sample_test.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

/// Distance of rates from 0 and 1, where a single call would decide the test.
static constexpr double MinRate = 1e-6;

/// Bisection steps, which give an error of the rate below 2^-40.
static constexpr int BisectionSteps = 40;

static double clampRate(double Rate) {
  return std::clamp(Rate, MinRate, 1 - MinRate);
}

/// Returns the derivative of the weighted relative entropy, which increases
/// with \p Old.
static double entropyDerivative(const two_sample_block &Block,
                                const two_sample_rates &To, double Old,
                                double New) {
  return Block.OldCalls * (Old - To.Old) / (Old * (1 - Old)) +
         Block.NewCalls * (New - To.New) / (New * (1 - New));
}

/// Returns the rates nearest to \p Alternative on the boundary of the null
/// hypothesis with \p Offset.
static two_sample_rates nearestNullRates(const two_sample_block &Block,
                                         const two_sample_rates &Alternative,
                                         double Offset) {
  double Low = std::max(0.0, -Offset) + MinRate;
  double High = std::min(1.0, 1 - Offset) - MinRate;
  for (int Step = 0; Step < BisectionSteps; ++Step) {
    double Middle = (Low + High) / 2;
    if (entropyDerivative(Block, Alternative, Middle, Middle + Offset) < 0)
      Low = Middle;
    else
      High = Middle;
  }
  double Old = (Low + High) / 2;
  return {clampRate(Old), clampRate(Old + Offset)};
}

static double logLikelihoodRatio(double Calls, double Hits, double Rate,
                                 double NullRate) {
  Hits = std::min(Hits, Calls);
  return Hits * std::log(Rate / NullRate) +
         (Calls - Hits) * std::log((1 - Rate) / (1 - NullRate));
}

double logEValue(const two_sample_block &Block,
                 const two_sample_rates &Alternative,
                 const two_sample_null &Null) {
  two_sample_rates Rates{clampRate(Alternative.Old),
                         clampRate(Alternative.New)};
  double Distance = Rates.New - Rates.Old - Null.Offset;
  bool Outside =
      Null.Side == two_sample_null::side::AtMost ? Distance > 0 : Distance < 0;
  if (!Outside || Block.OldCalls <= 0 || Block.NewCalls <= 0)
    return 0;
  two_sample_rates Nearest = nearestNullRates(Block, Rates, Null.Offset);
  return logLikelihoodRatio(Block.OldCalls, Block.OldHits, Rates.Old,
                            Nearest.Old) +
         logLikelihoodRatio(Block.NewCalls, Block.NewHits, Rates.New,
                            Nearest.New);
}

} // namespace gentianlug::rollout
