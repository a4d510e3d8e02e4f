#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/version_evaluator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gentianlug::rollout {

std::size_t latencyBucket(std::chrono::microseconds Latency) {
  if (Latency < LowestBucketBound)
    return 0;
  double Ratio = double(Latency.count()) / double(LowestBucketBound.count());
  auto Bucket = std::size_t(2 * std::log2(Ratio)) + 1;
  return std::min(Bucket, LatencyBucketCount - 1);
}

std::uint64_t countCalls(const latency_counts &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t(0));
}

const char *describe(verdict_kind Kind) {
  switch (Kind) {
  case verdict_kind::Undecided:
    return "undecided";
  case verdict_kind::Pass:
    return "pass";
  case verdict_kind::Fail:
    return "fail";
  }
  return "unknown";
}

} // namespace gentianlug::rollout
