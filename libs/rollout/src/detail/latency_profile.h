#ifndef GENTIANLUG_ROLLOUT_SRC_DETAIL_LATENCY_PROFILE_H
#define GENTIANLUG_ROLLOUT_SRC_DETAIL_LATENCY_PROFILE_H

#include "gentianlug/core/ids.h"
#include "gentianlug/rollout/evidence.h"

#include <array>
#include <map>
#include <span>
#include <vector>

namespace gentianlug::rollout::detail {

/// Number of relative latency buckets, each a factor of the square root of 2.
inline constexpr std::size_t RelativeBucketCount = 24;
/// Relative bucket of latencies in the same bucket as the median of the old
/// version on the route. The first and the last bucket hold all beyond them.
inline constexpr std::size_t MedianBucket = 10;

using relative_counts = std::array<double, RelativeBucketCount>;

/// Calls of the old version on one route.
struct old_latencies {
  relative_counts Calls{};
  /// Sums of the weights of the calls and of their squares.
  double Weight = 0;
  double SquaredWeight = 0;

  void add(std::size_t Bucket, double Count, double CallWeight);
  void add(const old_latencies &Other);
  void scale(double Factor);
  /// Returns the number of calls that would give an estimate of the same
  /// variance without weights.
  double effectiveCalls() const;
};

/// Calls of one server of the new version on one route.
struct new_latencies {
  relative_counts Finished{};
  /// Calls that were canceled, by the time that they had run.
  relative_counts Canceled{};
  /// Calls that run now, by the time that they have run.
  relative_counts Running{};

  void scale(double Factor);
};

using server_latencies = std::map<route_name, new_latencies>;

/// A fault of the new version: a share of its calls is slower by a number of
/// buckets.
struct slow_alternative {
  double Share = 0;
  std::size_t Shift = 0;
};

/// Latencies of both versions, relative to the medians of the old version, over
/// a time that ends now.
class latency_profile {
public:
  /// \param Decay weight that earlier calls keep at each period, 0 to 1.
  explicit latency_profile(double Decay) : Decay(Decay) {}

  /// Starts the next period and forgets the running calls.
  void startPeriod();
  old_latencies &oldRoute(const route_name &Route) { return Old[Route]; }
  new_latencies &newRoute(const node_id &Node, const route_name &Route) {
    return New[Node][Route];
  }

  /// Returns for each alternative the logarithm of its likelihood ratio against
  /// the hypothesis that the new version is like the old one.
  ///
  /// Complexity: linear in the servers, their routes and the alternatives.
  std::vector<double>
  logRatios(std::span<const slow_alternative> Alternatives) const;

private:
  std::map<route_name, relative_counts> routeDistributions() const;

  double Decay;
  std::map<route_name, old_latencies> Old;
  std::map<node_id, server_latencies> New;
};

} // namespace gentianlug::rollout::detail

#endif // GENTIANLUG_ROLLOUT_SRC_DETAIL_LATENCY_PROFILE_H
