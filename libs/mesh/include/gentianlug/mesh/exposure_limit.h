#ifndef GENTIANLUG_MESH_EXPOSURE_LIMIT_H
#define GENTIANLUG_MESH_EXPOSURE_LIMIT_H

#include "gentianlug/mesh/model.h"

#include <chrono>
#include <cstdint>

namespace gentianlug::mesh {

/// Progress of a rollout: the calls that servers of both versions have received
/// since its start, and its times.
struct rollout_progress {
  std::uint64_t Calls = 0;
  std::uint64_t NewCalls = 0;
  std::chrono::milliseconds Elapsed{0};
  std::chrono::milliseconds Duration{0};
};

/// Returns the calls that the service receives in a second.
double callsPerSecond(const rollout_progress &Progress);

/// Returns the calls that a version which turns out bad may receive until the
/// end of the rollout, at the call rate so far.
double allowedNewCalls(const mesh_bounds &Bounds,
                       const rollout_progress &Progress);

/// Returns the calls that the new version may receive before it receives all
/// calls. The rest of the allowed calls is for the time until a fault that
/// shows only then has been detected and rolled back.
double allowedNewCallsBeforeSwitch(const mesh_bounds &Bounds,
                                   const rollout_progress &Progress);

/// Returns the share, 0 to \p MaxShare, that uses up the calls which are
/// allowed before the switch in \p Time.
double shareWithinLimit(const mesh_bounds &Bounds,
                        const rollout_progress &Progress,
                        std::chrono::milliseconds Time, double MaxShare);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_EXPOSURE_LIMIT_H
