#ifndef GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H
#define GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H

#include "gentianlug/rollout/evidence.h"

#include <map>
#include <string>

namespace gentianlug::rollout {

/// Routes that a detector tracks; calls of further routes are ignored.
inline constexpr std::size_t MaxMonitoredRoutes = 256;

/// Probability that, at a given call of a good version, a run of errors starts
/// that reaches the threshold. Over the 10,000 calls of a rollout, it adds up
/// to a tenth of `FalseRollbackRate`.
inline constexpr double FalseQuarantineRate = 1e-8;

/// Lower bound of the assumed error rate of the old version, even if it has
/// had no errors.
inline constexpr double MinOldErrorRate = 0.002;

/// Decides on the node beside a new server, from the calls of that server
/// alone, whether to quarantine it: after a run of errors on one route that the
/// error rate of the old version does not explain.
class consecutive_error_detector {
public:
  /// Starts for a new rollout and discards the runs of errors.
  ///
  /// \param OldErrorRate error rate of the old version, from the controller;
  /// 1 while it is unknown, which gives the highest threshold.
  void start(double OldErrorRate);

  /// Changes the error rate of the old version and keeps the runs of errors.
  void setOldErrorRate(double OldErrorRate);

  /// Adds the calls of one period.
  ///
  /// \returns whether the server must be quarantined.
  bool add(const server_evidence &Evidence);

  /// Returns the number of consecutive errors on one route that quarantines a
  /// server.
  std::uint32_t errorThreshold() const { return ErrorThreshold; }

private:
  std::uint32_t ErrorThreshold = 0;
  /// Consecutive errors by route.
  std::map<route_name, std::uint32_t> ConsecutiveErrors;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H
