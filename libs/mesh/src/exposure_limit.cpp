#include "gentianlug/mesh/exposure_limit.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Part of the calls expected in the remaining time that the limit relies on,
/// since the call rate may fall.
static constexpr double ReliableCallPart = 0.8;
/// Time in which a fault under full load is detected and rolled back.
static constexpr std::chrono::duration<double> DetectionTime{1.1};
/// Smallest part of the allowed calls that is used before the switch.
static constexpr double MinPartBeforeSwitch = 0.35;

static double seconds(std::chrono::milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

double callsPerSecond(const rollout_progress &Progress) {
  return Progress.Elapsed.count() > 0
             ? double(Progress.Calls) / seconds(Progress.Elapsed)
             : 0;
}

double allowedNewCalls(const mesh_bounds &Bounds,
                       const rollout_progress &Progress) {
  auto Left = std::max(std::chrono::milliseconds(0),
                       Progress.Duration - Progress.Elapsed);
  double Expected = double(Progress.Calls) +
                    ReliableCallPart * callsPerSecond(Progress) * seconds(Left);
  return Bounds.MaxExposedShare * Expected + Bounds.MaxExposedCalls;
}

double allowedNewCallsBeforeSwitch(const mesh_bounds &Bounds,
                                   const rollout_progress &Progress) {
  double Allowed = allowedNewCalls(Bounds, Progress);
  return std::max(Allowed - callsPerSecond(Progress) * DetectionTime.count(),
                  Allowed * MinPartBeforeSwitch);
}

double shareWithinLimit(const mesh_bounds &Bounds,
                        const rollout_progress &Progress,
                        std::chrono::milliseconds Time, double MaxShare) {
  double Calls = callsPerSecond(Progress) * seconds(Time);
  double Left =
      allowedNewCallsBeforeSwitch(Bounds, Progress) - double(Progress.NewCalls);
  return Calls > 0 ? std::clamp(Left / Calls, 0.0, MaxShare) : MaxShare;
}

} // namespace gentianlug::mesh
