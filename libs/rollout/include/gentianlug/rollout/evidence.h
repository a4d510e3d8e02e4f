#ifndef GENTIANLUG_ROLLOUT_EVIDENCE_H
#define GENTIANLUG_ROLLOUT_EVIDENCE_H

#include "gentianlug/core/ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace gentianlug::rollout {

/// Latency buckets of evidence; bucket I holds latencies below
/// `LowestBucketBound` times 2^(I/2), the last one all others.
inline constexpr std::size_t LatencyBucketCount = 32;
inline constexpr std::chrono::microseconds LowestBucketBound{500};

using latency_counts = std::array<std::uint32_t, LatencyBucketCount>;

/// Returns the bucket of a latency.
std::size_t latencyBucket(std::chrono::microseconds Latency);

/// Calls of one route that a backend server finished in one period.
struct route_evidence {
  route_name Route;
  std::uint32_t Calls = 0;
  std::uint32_t Errors = 0;
  /// Latencies of calls without error while the server was warm.
  latency_counts Latencies{};

  bool operator==(const route_evidence &) const = default;
};

/// What the node beside a backend server saw of it in one period.
struct server_evidence {
  node_id Node;
  service_name Service;
  version_name Version;
  incarnation_number ServerIncarnation = 0;
  /// Rises with each report of the node, also over its restarts; repeated and
  /// late reports are ignored.
  std::uint64_t Sequence = 0;
  /// Calls that the server may run at a time now, and at most when warm.
  std::uint32_t ConcurrencyLimit = 0;
  std::uint32_t WarmConcurrencyLimit = 0;
  /// Whether the node has cut its server off for strong evidence of its own.
  bool Quarantined = false;
  std::vector<route_evidence> Routes;

  bool operator==(const server_evidence &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_EVIDENCE_H
