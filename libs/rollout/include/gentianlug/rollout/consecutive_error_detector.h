#ifndef GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H
#define GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H

#include "gentianlug/rollout/evidence.h"

#include <map>
#include <string>

namespace gentianlug::rollout {

/// Routes that a guard watches; calls of further routes are ignored.
inline constexpr std::size_t MaxMonitoredRoutes = 256;

/// Probability that a run of errors of a good version starts at a given call
/// and is long enough for a cut. Over 10,000 calls of a rollout it adds up to
/// a tenth of the stated false take-back rate.
inline constexpr double FalseQuarantineRate = 1e-8;

/// Error rate that even a clean old version is taken to have.
inline constexpr double MinOldErrorRate = 0.002;

/// Decides on the node beside a new server, by its own calls alone, to cut the
/// server off: after a run of errors that the error rate of the old version
/// cannot explain.
class consecutive_error_detector {
public:
  /// Starts for one rollout; forgets everything.
  ///
  /// \param OldErrorRate error rate of the old version, from the controller;
  /// 1 while it is not known, which leaves out any cut.
  void start(double OldErrorRate);

  /// Changes the error rate of the old version; the runs go on.
  void setOldErrorRate(double OldErrorRate);

  /// Adds the calls of one period.
  ///
  /// \returns whether the server shall be cut off.
  bool add(const server_evidence &Evidence);

  /// Returns the errors in a row that cut a server off.
  std::uint32_t errorThreshold() const { return ErrorThreshold; }

private:
  std::uint32_t ErrorThreshold = 0;
  /// Errors in a row by route.
  std::map<route_name, std::uint32_t> ConsecutiveErrors;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONSECUTIVE_ERROR_DETECTOR_H
