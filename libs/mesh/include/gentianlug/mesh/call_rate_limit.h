#ifndef GENTIANLUG_MESH_CALL_RATE_LIMIT_H
#define GENTIANLUG_MESH_CALL_RATE_LIMIT_H

#include "gentianlug/core/clock.h"

#include <cstddef>
#include <optional>

namespace gentianlug::mesh {

/// Limits the calls per second that start, as a token bucket.
///
/// In any time T, at most T times the rate plus the calls of half a second, or
/// one if that is more, can start.
class call_rate_limit {
public:
  /// Sets the rate, in calls per second, or removes the limit. Rates below
  /// `MinCallsPerSecond` are raised to it, so that the end of a limit is
  /// noticed.
  void setRate(std::optional<double> CallsPerSecond, steady_time Now);
  const std::optional<double> &rate() const { return Rate; }

  /// Returns whether a call may start.
  bool mayStart(steady_time Now) const;
  /// Counts a call that starts.
  void onStart(steady_time Now);
  /// Returns when \p Calls more calls may have started; \p Now if there is no
  /// limit.
  steady_time timeFor(std::size_t Calls, steady_time Now) const;

  static constexpr double MinCallsPerSecond = 0.25;

private:
  double capacity() const;
  double tokens(steady_time Now) const;

  std::optional<double> Rate;
  /// Tokens at `UpdatedAt`.
  double Tokens = 0;
  steady_time UpdatedAt{};
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_CALL_RATE_LIMIT_H
