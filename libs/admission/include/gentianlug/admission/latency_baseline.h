#ifndef GENTIANLUG_ADMISSION_LATENCY_BASELINE_H
#define GENTIANLUG_ADMISSION_LATENCY_BASELINE_H

#include "gentianlug/core/ids.h"

#include <chrono>
#include <map>

namespace gentianlug::admission {

/// Routes with a baseline of their own; further routes share one.
inline constexpr std::size_t MaxBaselineRoutes = 256;

/// Usual and recent latency of the server, per route.
class latency_baseline {
public:
  /// How one latency compares with the usual one.
  struct comparison {
    double Ratio = 1;
    /// Far above the usual latency, and not by scheduling noise alone.
    bool IsSpike = false;
  };

  /// Compares a latency and then learns from it.
  ///
  /// \param Warm whether the usual latency may rise by this one; a cold server
  /// must not make its slowness the usual.
  comparison addSample(const route_name &Route,
                       std::chrono::microseconds Latency, bool Warm);

  /// Returns the time that a call of \p Route needs in nearly all cases; 0 for
  /// a route without calls.
  std::chrono::microseconds tailLatency(const route_name &Route) const;

  /// Returns the recent mean over all routes; 0 without calls.
  std::chrono::microseconds recentMean() const;

private:
  struct route_latency {
    std::uint32_t Samples = 0;
    /// All in microseconds.
    double Baseline = 0;
    double RecentMean = 0;
    double MeanDeviation = 0;
  };

  std::map<route_name, route_latency> Routes;
  double OverallRecentMean = 0;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_LATENCY_BASELINE_H
