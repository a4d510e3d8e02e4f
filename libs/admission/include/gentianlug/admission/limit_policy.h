#ifndef GENTIANLUG_ADMISSION_LIMIT_POLICY_H
#define GENTIANLUG_ADMISSION_LIMIT_POLICY_H

#include "gentianlug/core/clock.h"

#include <cstdint>

namespace gentianlug::admission {

/// A finished call as a sample of the load of the server.
struct call_sample {
  /// The call got no response or a server error.
  bool Failed = false;
  /// Latency as a multiple of the baseline of the route.
  double LatencyRatio = 1;
  /// The latency was far above the baseline; see `latency_baseline`.
  bool LatencySpike = false;
  /// Calls in flight when the call started, including itself.
  std::uint32_t InFlight = 1;
  steady_time Started;
  steady_time Finished;
};

/// Limits the number of concurrent calls to a server.
class limit_policy {
public:
  virtual ~limit_policy() = default;

  /// Resets the state for a server with \p Slots.
  virtual void reset(std::uint32_t Slots, steady_time Now) = 0;

  virtual void addSample(const call_sample &Sample) = 0;

  /// Returns the limit, from 1 to the slots of the server.
  virtual std::uint32_t limit() const = 0;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_LIMIT_POLICY_H
