#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_TEST_H

#include "detail/signal_test.h"
#include "gentianlug/rollout/verdict_policy.h"

#include <string>

namespace gentianlug::rollout::detail {

/// Calls of one version on one route.
struct call_counts {
  std::uint64_t Calls = 0;
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, LatencyBuckets> Latencies{};

  void add(const route_evidence &Evidence);
  std::uint64_t timed() const;
  /// Returns the calls in buckets above \p Bucket.
  std::uint64_t slowerThan(std::size_t Bucket) const;
};

/// Calls of the old version so far; older calls count less.
struct call_history {
  double Calls = 0;
  double Errors = 0;
  std::array<double, LatencyBuckets> Latencies{};

  void add(const call_counts &Counts);
  double errorRate() const;
  double timed() const;
  /// Returns the bucket that holds the quantile \p Part, 0 to 1.
  std::size_t quantileBucket(double Part) const;
  /// Returns the share of calls in buckets above \p Bucket.
  double shareAbove(std::size_t Bucket) const;
};

/// All tests of one route.
class route_test {
public:
  /// \param LogThreshold bound of the e-value of each signal.
  /// \param StartWeight see `signal_test`.
  route_test(double LogThreshold, double StartWeight);

  void add(rollout_side Side, const route_evidence &Evidence);

  /// Tests the calls since the last block, once both versions have some.
  void closeBlock();

  /// Returns why the new version is faulty, or "".
  std::string fault() const;

  /// Returns whether some signal is on its way to a bad verdict.
  bool suspect() const;

  /// Returns whether a fault has been refuted.
  bool refuted() const;

  double oldCalls() const { return History.Calls; }
  double oldErrors() const { return History.Errors; }

private:
  two_sample_block latencyBlock(std::size_t OldBucket) const;
  void testLatency(signal_test &Signal, double Part);
  bool ready();

  double LogThreshold;
  signal_test Errors;
  signal_test Median;
  signal_test Tail;
  call_counts Old;
  call_counts New;
  call_history History;
  std::uint64_t NewCalls = 0;
  std::uint64_t NewErrors = 0;
  std::uint64_t NewTimed = 0;
  int BlocksWithoutOld = 0;
};

} // namespace gentianlug::rollout::detail

#endif // GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_TEST_H
