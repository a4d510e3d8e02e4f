#include "gentianlug/rollout/evidence.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

std::size_t latencyBucket(std::chrono::microseconds Latency) {
  if (Latency < LowestBucketBound)
    return 0;
  double Ratio = double(Latency.count()) / double(LowestBucketBound.count());
  auto Bucket = std::size_t(2 * std::log2(Ratio)) + 1;
  return std::min(Bucket, LatencyBucketCount - 1);
}

} // namespace gentianlug::rollout
