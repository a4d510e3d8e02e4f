#include "detail/route_test.h"

#include "gentianlug/rollout/sequential_verdict.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gentianlug::rollout::detail {

static constexpr signal_rules ErrorRules{HarmlessErrorRise, FaultyErrorRise,
                                         40};
/// Latency has the smaller bound of calls: one pause of a VM makes all calls of
/// a moment slow.
static constexpr signal_rules MedianRules{0, FaultySlowRise, 3};
static constexpr signal_rules TailRules{0.01, 0, 3};

static constexpr double MedianPart = 0.5;
static constexpr double TailPart = 0.98;

/// Buckets of `HarmlessLatencyFactor`; a bucket is a factor of the root of 2.
static constexpr std::size_t HarmlessBuckets = 2;

/// Old calls keep this part of their weight at each judgement, so that the
/// history covers about 25 s.
static constexpr double HistoryDecay = 0.99;

/// Weight of the rate that is assumed before any call.
static constexpr double PriorCalls = 1;
static constexpr double PriorRate = 0.02;

/// Latencies of the old version that are needed before latency is tested.
static constexpr double LeastTimedCalls = 20;

/// After this many judgements (2 s) without a call of the old version, new
/// calls are compared with its history.
static constexpr int MaxBlocksWithoutOld = 8;
/// Old calls that the history stands for in such a block.
static constexpr double HistoryBlockCalls = 100;

/// Latency does not have to be refuted when after this many new calls fewer
/// than this part had a latency: the new servers are still cold, and get warm
/// only by a larger share.
static constexpr std::uint64_t CallsWithoutLatency = 100;
static constexpr double LeastTimedPart = 0.1;

static constexpr double RefutedBound = 1 / MissedFaultRate;

void call_counts::add(const route_evidence &Evidence) {
  Calls += Evidence.Calls;
  Errors += std::min(Evidence.Errors, Evidence.Calls);
  for (std::size_t Index = 0; Index < LatencyBuckets; ++Index)
    Latencies[Index] += Evidence.Latencies[Index];
}

std::uint64_t call_counts::timed() const {
  return std::accumulate(Latencies.begin(), Latencies.end(), std::uint64_t(0));
}

std::uint64_t call_counts::slowerThan(std::size_t Bucket) const {
  std::size_t First = std::min(Bucket + 1, LatencyBuckets);
  return std::accumulate(Latencies.begin() + std::ptrdiff_t(First),
                         Latencies.end(), std::uint64_t(0));
}

void call_history::add(const call_counts &Counts) {
  Calls = Calls * HistoryDecay + double(Counts.Calls);
  Errors = Errors * HistoryDecay + double(Counts.Errors);
  for (std::size_t Index = 0; Index < LatencyBuckets; ++Index)
    Latencies[Index] =
        Latencies[Index] * HistoryDecay + double(Counts.Latencies[Index]);
}

double call_history::errorRate() const {
  return (Errors + PriorRate * PriorCalls) / (Calls + PriorCalls);
}

double call_history::timed() const {
  return std::accumulate(Latencies.begin(), Latencies.end(), 0.0);
}

std::size_t call_history::quantileBucket(double Part) const {
  double Rest = timed() * Part;
  for (std::size_t Index = 0; Index < LatencyBuckets; ++Index) {
    Rest -= Latencies[Index];
    if (Rest <= 0)
      return Index;
  }
  return LatencyBuckets - 1;
}

double call_history::shareAbove(std::size_t Bucket) const {
  double Above = 0;
  for (std::size_t Index = Bucket + 1; Index < LatencyBuckets; ++Index)
    Above += Latencies[Index];
  return (Above + PriorRate * PriorCalls) / (timed() + PriorCalls);
}

route_test::route_test(double LogThreshold, double StartWeight)
    : LogThreshold(LogThreshold), Errors(ErrorRules, StartWeight),
      Median(MedianRules, StartWeight), Tail(TailRules, StartWeight) {}

void route_test::add(rollout_side Side, const route_evidence &Evidence) {
  (Side == rollout_side::Old ? Old : New).add(Evidence);
}

/// Returns whether the block can be tested: both versions have calls, or the
/// history stands for the old version.
bool route_test::ready() {
  if (Old.Calls > 0)
    BlocksWithoutOld = 0;
  if (New.Calls == 0 || Old.Calls > 0)
    return true;
  if (++BlocksWithoutOld < MaxBlocksWithoutOld ||
      History.Calls < HistoryBlockCalls)
    return false;
  Old.Calls = std::uint64_t(HistoryBlockCalls);
  Old.Errors =
      std::uint64_t(std::ceil(HistoryBlockCalls * History.errorRate()));
  double Scale = HistoryBlockCalls / std::max(1.0, History.timed());
  for (std::size_t Index = 0; Index < LatencyBuckets; ++Index)
    Old.Latencies[Index] =
        std::uint64_t(std::lround(Scale * History.Latencies[Index]));
  return true;
}

void route_test::closeBlock() {
  if (!ready())
    return;
  Errors.add({double(Old.Calls), double(Old.Errors), double(New.Calls),
              double(New.Errors)},
             History.errorRate());
  if (History.timed() >= LeastTimedCalls) {
    testLatency(Median, MedianPart);
    testLatency(Tail, TailPart);
  }
  NewCalls += New.Calls;
  NewErrors += New.Errors;
  NewTimed += New.timed();
  // Calls from the history would confirm themselves.
  if (BlocksWithoutOld < MaxBlocksWithoutOld)
    History.add(Old);
  Old = {};
  New = {};
}

void route_test::testLatency(signal_test &Signal, double Part) {
  std::size_t Bucket = History.quantileBucket(Part);
  Signal.add(latencyBlock(Bucket), History.shareAbove(Bucket));
}

two_sample_block route_test::latencyBlock(std::size_t OldBucket) const {
  std::size_t NewBucket =
      std::max(OldBucket + HarmlessBuckets, latencyBucket(SmallestSlowLatency));
  return {double(Old.timed()), double(Old.slowerThan(OldBucket)),
          double(New.timed()), double(New.slowerThan(NewBucket))};
}

std::string route_test::fault() const {
  if (Errors.logFault() >= LogThreshold)
    return std::to_string(NewErrors) + " errors in " +
           std::to_string(NewCalls) + " calls, old version " +
           std::to_string(100 * History.errorRate()) + "%";
  if (std::max(Median.logFault(), Tail.logFault()) >= LogThreshold)
    return "latency above " + std::to_string(unsigned(HarmlessLatencyFactor)) +
           " times that of the old version";
  return "";
}

bool route_test::suspect() const {
  double Highest =
      std::max({Errors.logFault(), Median.logFault(), Tail.logFault()});
  return Highest >= LogThreshold / 2;
}

bool route_test::refuted() const {
  static const double LogBound = std::log(RefutedBound);
  bool Untimed = NewCalls >= CallsWithoutLatency &&
                 double(NewTimed) < LeastTimedPart * double(NewCalls);
  return Errors.logRefuted() >= LogBound &&
         (Untimed || Median.logRefuted() >= LogBound);
}

} // namespace gentianlug::rollout::detail
