#ifndef GENTIANLUG_ROLLOUT_TESTS_TRAFFIC_H
#define GENTIANLUG_ROLLOUT_TESTS_TRAFFIC_H

#include "gentianlug/core/random.h"
#include "gentianlug/rollout/evidence.h"

#include <cmath>

namespace gentianlug::rollout {

/// Simulated behaviour of a version on one route.
struct version_behaviour {
  double ErrorRate = 0;
  std::chrono::microseconds MedianLatency{5000};
  /// Standard deviation of the logarithm of the latency.
  double LogDeviation = 0.4;
};

/// Returns evidence of random calls on one route in one period.
inline route_evidence drawCalls(generator &Gen, const char *Route,
                                std::uint32_t Calls,
                                const version_behaviour &Behaviour) {
  route_evidence Evidence;
  Evidence.Route = route_name(Route);
  Evidence.Calls = Calls;
  std::lognormal_distribution<double> Latency(
      std::log(double(Behaviour.MedianLatency.count())),
      Behaviour.LogDeviation);
  for (std::uint32_t Call = 0; Call < Calls; ++Call) {
    if (drawBool(Gen, Behaviour.ErrorRate))
      ++Evidence.Errors;
    else
      ++Evidence.Latencies[latencyBucket(
          std::chrono::microseconds(long(Latency(Gen))))];
  }
  return Evidence;
}

/// Returns a random count from the Poisson distribution with \p Mean.
inline std::uint32_t drawCount(generator &Gen, double Mean) {
  return std::uint32_t(std::poisson_distribution<int>(Mean)(Gen));
}

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_TESTS_TRAFFIC_H
