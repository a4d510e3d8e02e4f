#ifndef GENTIANLUG_ROLLOUT_TWO_SAMPLE_TEST_H
#define GENTIANLUG_ROLLOUT_TWO_SAMPLE_TEST_H

#include <cstdint>

namespace gentianlug::rollout {

/// Calls of both versions in the same short period. Hits are the calls with the
/// property under test: an error, or a latency above a bound. The counts of one
/// version may be scaled down, see `logEValue`.
struct two_sample_block {
  double OldCalls = 0;
  double OldHits = 0;
  double NewCalls = 0;
  double NewHits = 0;
};

/// Rates of hits in both versions.
struct two_sample_rates {
  double Old = 0;
  double New = 0;
};

/// Null hypothesis of a test: the rate of the new version is at most
/// (`AtMost`) or at least (`AtLeast`) the rate of the old version plus
/// `Offset`.
struct two_sample_null {
  enum class side : std::uint8_t { AtMost, AtLeast };
  side Side = side::AtMost;
  double Offset = 0;
};

/// Returns the logarithm of the e-value of one block: the likelihood ratio of
/// \p Alternative against the rates of the null hypothesis that are nearest to
/// it in relative entropy, weighted by the calls of both versions.
///
/// The null hypothesis is convex, so the expected value of the ratio is at
/// most 1 under each of its rates (Turner and Gruenwald, 2023), by first-order
/// optimality of the nearest rates. The product over blocks is therefore a
/// test that may be stopped at any time, provided that
/// \p Alternative does not depend on the block itself. This also holds for
/// counts scaled by a factor below 1 that depends only on the number of calls,
/// by Jensen's inequality.
///
/// Returns 0 when \p Alternative is part of the null hypothesis or when a
/// version has no calls. Complexity: constant.
///
/// Example: `logEValue({100, 0, 5, 5}, {0.001, 0.75}, {})` is above 10.
double logEValue(const two_sample_block &Block,
                 const two_sample_rates &Alternative,
                 const two_sample_null &Null);

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_TWO_SAMPLE_TEST_H
