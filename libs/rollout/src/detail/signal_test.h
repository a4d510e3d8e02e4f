#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_SIGNAL_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_SIGNAL_TEST_H

#include "gentianlug/rollout/two_sample_test.h"

#include <array>

namespace gentianlug::rollout::detail {

/// Rises of the rate that the fault test looks for, mixed in equal parts.
inline constexpr std::array<double, 3> TestedRises = {0.05, 0.25, 0.75};

/// Constants of one signal.
struct signal_rules {
  /// A rise up to this is no fault.
  double HarmlessRise = 0;
  /// A rise from this on must be refuted before the share may grow; 0 when the
  /// signal does not have to be refuted.
  double FaultyRise = 0;
  /// New calls that count in one block. More calls count together as this
  /// many: calls of one moment share the pauses of one VM, so they are less
  /// independent than the test assumes.
  double CallsPerBlock = 0;
};

/// The sequential tests of one signal on one route.
class signal_test {
public:
  signal_test(signal_rules Rules, double StartWeight)
      : Rules(Rules), StartWeight(StartWeight) {}

  /// Adds one block, which must not be the source of \p OldRate.
  void add(two_sample_block Block, double OldRate);

  /// Returns the logarithm of the e-value against "no worse".
  double logFault() const;

  /// Returns the logarithm of the e-value against "worse by FaultyRise".
  double logRefuted() const { return LogRefuted; }

private:
  signal_rules Rules;
  /// Weight of the e-process that starts at each block.
  double StartWeight;
  std::array<double, TestedRises.size()> Mixture{};
  double LogRefuted = 0;
};

} // namespace gentianlug::rollout::detail

#endif // GENTIANLUG_ROLLOUT_SRC_DETAIL_SIGNAL_TEST_H
