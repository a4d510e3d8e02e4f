#include "gentianlug/core/random.h"
#include "gentianlug/rollout/two_sample_test.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace gentianlug;
using namespace gentianlug::rollout;

/// Returns the exact expected e-value of one block under \p Truth.
static double expectedEValue(std::uint64_t OldCalls, std::uint64_t NewCalls,
                             double Scale, const two_sample_rates &Truth,
                             const two_sample_rates &Alternative,
                             const two_sample_null &Null) {
  auto Probability = [](std::uint64_t Calls, std::uint64_t Hits, double Rate) {
    return std::exp(std::lgamma(Calls + 1.0) - std::lgamma(Hits + 1.0) -
                    std::lgamma(double(Calls - Hits) + 1) +
                    double(Hits) * std::log(Rate) +
                    double(Calls - Hits) * std::log(1 - Rate));
  };
  double Sum = 0;
  for (std::uint64_t OldHits = 0; OldHits <= OldCalls; ++OldHits)
    for (std::uint64_t NewHits = 0; NewHits <= NewCalls; ++NewHits)
      Sum += Probability(OldCalls, OldHits, Truth.Old) *
             Probability(NewCalls, NewHits, Truth.New) *
             std::exp(
                 logEValue({double(OldCalls), double(OldHits),
                            Scale * double(NewCalls), Scale * double(NewHits)},
                           Alternative, Null));
  return Sum;
}

TEST_GROUP(two_sample_test){};

// Guards against a test whose false alarms exceed the stated rate: the
// expected e-value must be at most 1 everywhere in the null hypothesis.
TEST(two_sample_test, expectedValueIsAtMostOneUnderTheNullHypothesis) {
  generator Gen(11);
  std::uniform_real_distribution<double> Rate(0.001, 0.8);
  for (int Case = 0; Case < 300; ++Case) {
    double Old = Rate(Gen);
    double Offset = drawBool(Gen, 0.5) ? 0 : 0.1;
    two_sample_rates Alternative{Rate(Gen), 0.99 * Rate(Gen)};
    bool AtMost = drawBool(Gen, 0.5);
    two_sample_null Null{AtMost ? two_sample_null::side::AtMost
                                : two_sample_null::side::AtLeast,
                         Offset};
    double Margin = drawBool(Gen, 0.5) ? 0 : 0.1;
    double New = AtMost ? std::max(0.0005, Old + Offset - Margin)
                        : std::min(0.9995, Old + Offset + Margin);
    CHECK_TRUE(expectedEValue(1 + drawIndex(Gen, 12), 1 + drawIndex(Gen, 6),
                              drawBool(Gen, 0.5) ? 1 : 0.4, {Old, New},
                              Alternative, Null) <= 1 + 1e-6);
  }
}

// Guards against a test that lacks the power to detect an obvious fault.
TEST(two_sample_test, fewErrorsOfAnErrorFreeServiceDecide) {
  CHECK_TRUE(logEValue({100, 0, 5, 5}, {0.001, 0.75}, {}) > 10);
  CHECK_TRUE(logEValue({100, 0, 5, 0}, {0.001, 0.75}, {}) < 0);
  DOUBLES_EQUAL(0, logEValue({0, 0, 5, 5}, {0.001, 0.75}, {}), 0);
}
