#include "detail/route_sequential_test.h"

#include "gentianlug/rollout/sequential_evaluator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gentianlug::rollout::detail {

static constexpr metric_test_parameters ErrorParameters{
    MaxToleratedErrorIncrease, MinFaultErrorIncrease, 40};
/// Latency has a smaller `MaxCallsPerBlock` than errors, because one pause of a
/// VM delays all calls at that time.
static constexpr metric_test_parameters MedianParameters{
    0, MinFaultSlowShareIncrease, 3};
static constexpr metric_test_parameters TailParameters{0.01, 0, 3};

static constexpr double MedianQuantile = 0.5;
static constexpr double TailQuantile = 0.98;

/// `MaxToleratedLatencyFactor` in buckets, each of which is a factor of the
/// square root of 2.
static constexpr std::size_t ToleratedLatencyBuckets = 2;

/// Factor applied to the weight of old calls at each evaluation, so
/// that the history covers about 25 s.
static constexpr double HistoryDecay = 0.99;

/// Prior rate of hits, and its weight in calls.
static constexpr double PriorCalls = 1;
static constexpr double PriorRate = 0.02;

/// Calls of the old version with a latency that are required before latency is
/// tested.
static constexpr double MinTimedCalls = 20;

/// After this many evaluations (2 s) without a call of the old version, the
/// calls of the new version are compared with the history.
static constexpr int MaxBlocksWithoutOldCalls = 8;
/// Number of old calls that represent the history in such a block.
static constexpr double HistoryBlockCalls = 100;

/// A fault in latency need not be rejected when, after
/// `MinCallsForUntimedCheck` new calls, less than `MinTimedFraction` of them
/// had a latency: the new servers are still cold and become warm only with a
/// larger share.
static constexpr std::uint64_t MinCallsForUntimedCheck = 100;
static constexpr double MinTimedFraction = 0.1;

static constexpr double RefutationThreshold = 1 / MissedFaultRate;

void call_counts::add(const route_evidence &Evidence) {
  Calls += Evidence.Calls;
  Errors += std::min(Evidence.Errors, Evidence.Calls);
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    Latencies[Index] += Evidence.Latencies[Index];
}

std::uint64_t call_counts::timedCalls() const {
  return std::accumulate(Latencies.begin(), Latencies.end(), std::uint64_t(0));
}

std::uint64_t call_counts::slowerThan(std::size_t Bucket) const {
  std::size_t First = std::min(Bucket + 1, LatencyBucketCount);
  return std::accumulate(Latencies.begin() + std::ptrdiff_t(First),
                         Latencies.end(), std::uint64_t(0));
}

void call_history::add(const call_counts &Counts) {
  Calls = Calls * HistoryDecay + double(Counts.Calls);
  Errors = Errors * HistoryDecay + double(Counts.Errors);
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    Latencies[Index] =
        Latencies[Index] * HistoryDecay + double(Counts.Latencies[Index]);
}

double call_history::errorRate() const {
  return (Errors + PriorRate * PriorCalls) / (Calls + PriorCalls);
}

double call_history::timedCalls() const {
  return std::accumulate(Latencies.begin(), Latencies.end(), 0.0);
}

std::size_t call_history::quantileBucket(double Quantile) const {
  double Remaining = timedCalls() * Quantile;
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index) {
    Remaining -= Latencies[Index];
    if (Remaining <= 0)
      return Index;
  }
  return LatencyBucketCount - 1;
}

double call_history::shareAbove(std::size_t Bucket) const {
  double Above = 0;
  for (std::size_t Index = Bucket + 1; Index < LatencyBucketCount; ++Index)
    Above += Latencies[Index];
  return (Above + PriorRate * PriorCalls) / (timedCalls() + PriorCalls);
}

route_sequential_test::route_sequential_test(double LogThreshold,
                                             double StartWeight)
    : LogThreshold(LogThreshold), Errors(ErrorParameters, StartWeight),
      MedianLatency(MedianParameters, StartWeight),
      TailLatency(TailParameters, StartWeight) {}

void route_sequential_test::add(version_role Role,
                                const route_evidence &Evidence) {
  (Role == version_role::Old ? Old : New).add(Evidence);
}

bool route_sequential_test::prepareBlock() {
  if (Old.Calls > 0)
    BlocksWithoutOldCalls = 0;
  if (New.Calls == 0 || Old.Calls > 0)
    return true;
  if (++BlocksWithoutOldCalls < MaxBlocksWithoutOldCalls ||
      History.Calls < HistoryBlockCalls)
    return false;
  Old.Calls = std::uint64_t(HistoryBlockCalls);
  Old.Errors =
      std::uint64_t(std::ceil(HistoryBlockCalls * History.errorRate()));
  double Scale = HistoryBlockCalls / std::max(1.0, History.timedCalls());
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    Old.Latencies[Index] =
        std::uint64_t(std::lround(Scale * History.Latencies[Index]));
  return true;
}

void route_sequential_test::closeBlock() {
  if (!prepareBlock())
    return;
  Errors.add({double(Old.Calls), double(Old.Errors), double(New.Calls),
              double(New.Errors)},
             History.errorRate());
  if (History.timedCalls() >= MinTimedCalls) {
    testLatency(MedianLatency, MedianQuantile);
    testLatency(TailLatency, TailQuantile);
  }
  NewCalls += New.Calls;
  NewErrors += New.Errors;
  NewTimed += New.timedCalls();
  // Calls that were filled in from the history must not be added to it again.
  if (BlocksWithoutOldCalls < MaxBlocksWithoutOldCalls)
    History.add(Old);
  Old = {};
  New = {};
}

void route_sequential_test::testLatency(metric_sequential_test &Test,
                                        double Quantile) {
  std::size_t Bucket = History.quantileBucket(Quantile);
  Test.add(latencyBlock(Bucket), History.shareAbove(Bucket));
}

two_sample_block
route_sequential_test::latencyBlock(std::size_t OldBucket) const {
  std::size_t NewBucket = std::max(OldBucket + ToleratedLatencyBuckets,
                                   latencyBucket(MinSlowLatency));
  return {double(Old.timedCalls()), double(Old.slowerThan(OldBucket)),
          double(New.timedCalls()), double(New.slowerThan(NewBucket))};
}

std::string route_sequential_test::faultDescription() const {
  if (Errors.logFaultEValue() >= LogThreshold)
    return std::to_string(NewErrors) + " errors in " +
           std::to_string(NewCalls) + " calls, old version " +
           std::to_string(100 * History.errorRate()) + "%";
  if (std::max(MedianLatency.logFaultEValue(), TailLatency.logFaultEValue()) >=
      LogThreshold)
    return "latency above " +
           std::to_string(unsigned(MaxToleratedLatencyFactor)) +
           " times that of the old version";
  return "";
}

bool route_sequential_test::isSuspect() const {
  double Highest =
      std::max({Errors.logFaultEValue(), MedianLatency.logFaultEValue(),
                TailLatency.logFaultEValue()});
  return Highest >= LogThreshold / 2;
}

bool route_sequential_test::isFaultRefuted() const {
  static const double LogBound = std::log(RefutationThreshold);
  bool Untimed = NewCalls >= MinCallsForUntimedCheck &&
                 double(NewTimed) < MinTimedFraction * double(NewCalls);
  return Errors.logRefutationEValue() >= LogBound &&
         (Untimed || MedianLatency.logRefutationEValue() >= LogBound);
}

} // namespace gentianlug::rollout::detail
