#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_SEQUENTIAL_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_SEQUENTIAL_TEST_H

#include "detail/metric_sequential_test.h"
#include "gentianlug/rollout/version_evaluator.h"

#include <string>

namespace gentianlug::rollout::detail {

/// Calls of one version on one route.
struct call_counts {
  std::uint64_t Calls = 0;
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, LatencyBucketCount> Latencies{};

  void add(const route_evidence &Evidence);
  std::uint64_t timedCalls() const;
  /// Returns the calls in buckets above \p Bucket.
  std::uint64_t slowerThan(std::size_t Bucket) const;
};

/// Calls of the old version so far; older calls count less.
struct call_history {
  double Calls = 0;
  double Errors = 0;
  std::array<double, LatencyBucketCount> Latencies{};

  void add(const call_counts &Counts);
  double errorRate() const;
  double timedCalls() const;
  /// Returns the bucket that holds the quantile \p Part, 0 to 1.
  std::size_t quantileBucket(double Part) const;
  /// Returns the share of calls in buckets above \p Bucket.
  double shareAbove(std::size_t Bucket) const;
};

/// All tests of one route.
class route_sequential_test {
public:
  /// \param LogThreshold bound of the e-value of each signal.
  /// \param StartWeight see `metric_sequential_test`.
  route_sequential_test(double LogThreshold, double StartWeight);

  void add(version_role Side, const route_evidence &Evidence);

  /// Tests the calls since the last block, once both versions have some.
  void closeBlock();

  /// Returns why the new version is faulty, or "".
  std::string faultDescription() const;

  /// Returns whether some signal is on its way to a bad verdict.
  bool isSuspect() const;

  /// Returns whether a fault has been refuted.
  bool isFaultRefuted() const;

  double oldCalls() const { return History.Calls; }
  double oldErrors() const { return History.Errors; }

private:
  two_sample_block latencyBlock(std::size_t OldBucket) const;
  void testLatency(metric_sequential_test &Signal, double Part);
  bool prepareBlock();

  double LogThreshold;
  metric_sequential_test Errors;
  metric_sequential_test MedianLatency;
  metric_sequential_test TailLatency;
  call_counts Old;
  call_counts New;
  call_history History;
  std::uint64_t NewCalls = 0;
  std::uint64_t NewErrors = 0;
  std::uint64_t NewTimed = 0;
  int BlocksWithoutOldCalls = 0;
};

} // namespace gentianlug::rollout::detail

#endif // GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_SEQUENTIAL_TEST_H
