#ifndef GENTIANLUG_ADMISSION_LATENCY_BASELINE_H
#define GENTIANLUG_ADMISSION_LATENCY_BASELINE_H

#include "gentianlug/core/ids.h"

#include <chrono>
#include <map>

namespace gentianlug::admission {

/// Maximum number of routes with their own baseline; further routes share one.
inline constexpr std::size_t MaxBaselineRoutes = 256;

/// Long-term (baseline) and recent latency of the server, by route.
class latency_baseline {
public:
  /// A latency compared with the baseline of its route.
  struct comparison {
    double Ratio = 1;
    /// The latency is far above the baseline, by more than scheduling delays.
    bool IsSpike = false;
  };

  /// Compares a latency with the baseline and then adds it to the averages.
  ///
  /// \param MayRise whether the sample may raise the baseline; false while the
  /// server is cold, so that its high latencies do not become the baseline.
  comparison addSample(const route_name &Route,
                       std::chrono::microseconds Latency, bool MayRise);

  /// Returns an estimate of the tail latency of \p Route, which nearly all
  /// calls stay below; 0 for a route without calls.
  std::chrono::microseconds tailLatency(const route_name &Route) const;

  /// Returns the recent mean latency over all routes; 0 without calls.
  std::chrono::microseconds recentMean() const;

private:
  struct route_latency {
    std::uint32_t Samples = 0;
    /// Moving averages in microseconds.
    double Baseline = 0;
    double RecentMean = 0;
    double MeanDeviation = 0;
  };

  std::map<route_name, route_latency> Routes;
  /// Moving average over all routes, in microseconds.
  double OverallRecentMean = 0;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_LATENCY_BASELINE_H
