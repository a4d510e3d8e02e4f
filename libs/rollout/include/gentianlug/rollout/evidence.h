#ifndef GENTIANLUG_ROLLOUT_EVIDENCE_H
#define GENTIANLUG_ROLLOUT_EVIDENCE_H

#include "gentianlug/core/ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace gentianlug::rollout {

/// Number of latency buckets. Bucket I holds latencies below
/// `LowestBucketBound` times 2^(I/2), the last bucket all others.
inline constexpr std::size_t LatencyBucketCount = 32;
inline constexpr std::chrono::microseconds LowestBucketBound{500};

using latency_counts = std::array<std::uint32_t, LatencyBucketCount>;

/// Returns the index of the bucket that holds \p Latency.
std::size_t latencyBucket(std::chrono::microseconds Latency);

/// Returns the sum of \p Counts.
std::uint64_t countCalls(const latency_counts &Counts);

/// Calls of one route that a backend server finished in the time of a report.
struct route_evidence {
  route_name Route;
  std::uint32_t Calls = 0;
  std::uint32_t Errors = 0;
  /// Successful calls by latency, counted only while the server was warm.
  latency_counts Latencies{};
  /// Calls that were canceled at the server, by the time that they had run,
  /// counted only while the server was warm.
  latency_counts Canceled{};
  /// Calls that run when the report is made, by the time that they have run,
  /// counted only while the server is warm.
  latency_counts Running{};

  bool operator==(const route_evidence &) const = default;
};

/// Report on a backend server by the node beside it, for one period or, with
/// the routes in the order of their names, since the start of the rollout (see
/// `cumulative_evidence`).
struct server_evidence {
  node_id Node;
  service_name Service;
  version_name Version;
  incarnation_number ServerIncarnation = 0;
  /// Increases with each report of the node, also across its restarts.
  /// Duplicate and out-of-order reports are ignored.
  std::uint64_t Sequence = 0;
  /// Calls that the server may run concurrently, now and when it is warm.
  std::uint32_t ConcurrencyLimit = 0;
  std::uint32_t WarmConcurrencyLimit = 0;
  /// Whether the node has quarantined its server by its own decision.
  bool Quarantined = false;
  /// Calls that the server has received.
  std::uint32_t Starts = 0;
  std::vector<route_evidence> Routes;

  bool operator==(const server_evidence &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_EVIDENCE_H
