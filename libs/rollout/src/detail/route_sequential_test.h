#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_SEQUENTIAL_TEST_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_ROUTE_SEQUENTIAL_TEST_H

#include "detail/metric_sequential_test.h"
#include "gentianlug/rollout/version_evaluator.h"

#include <string>

namespace gentianlug::rollout::detail {

/// Calls of one version on one route in one block.
struct call_counts {
  std::uint64_t Calls = 0;
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, LatencyBucketCount> Latencies{};

  void add(const route_evidence &Evidence);
  std::uint64_t timedCalls() const;
  /// Returns the number of calls in buckets above \p Bucket.
  std::uint64_t slowerThan(std::size_t Bucket) const;
};

/// Calls of the old version so far, weighted by an exponential decay.
struct call_history {
  double Calls = 0;
  double Errors = 0;
  std::array<double, LatencyBucketCount> Latencies{};

  void add(const call_counts &Counts);
  double errorRate() const;
  double timedCalls() const;
  /// Returns the bucket that holds the quantile \p Quantile, 0 to 1.
  std::size_t quantileBucket(double Quantile) const;
  /// Returns the share of calls in buckets above \p Bucket.
  double shareAbove(std::size_t Bucket) const;
};

/// The sequential tests of all metrics of one route.
class route_sequential_test {
public:
  /// \param LogThreshold logarithm of the e-value at which a metric counts as
  /// faulty.
  /// \param StartWeight see `metric_sequential_test`.
  route_sequential_test(double LogThreshold, double StartWeight);

  void add(version_role Role, const route_evidence &Evidence);

  /// Ends the block and tests its calls. The block is extended while only the
  /// new version has calls and the history does not stand in for the old one.
  void closeBlock();

  /// Returns a description of the fault of the new version, or "".
  std::string faultDescription() const;

  /// Returns whether a metric has reached half of the threshold for a fault.
  bool isSuspect() const;

  /// Returns whether the hypothesis of a fault has been rejected.
  bool isFaultRefuted() const;

  double oldCalls() const { return History.Calls; }
  double oldErrors() const { return History.Errors; }

private:
  two_sample_block latencyBlock(std::size_t OldBucket) const;
  void testLatency(metric_sequential_test &Test, double Quantile);
  /// Returns whether the block can be tested. Fills in the calls of the old
  /// version from the history when it has had none for some time.
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
