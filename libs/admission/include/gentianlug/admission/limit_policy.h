#ifndef GENTIANLUG_ADMISSION_LIMIT_POLICY_H
#define GENTIANLUG_ADMISSION_LIMIT_POLICY_H

#include "gentianlug/core/clock.h"

#include <cstdint>

namespace gentianlug::admission {

/// What one finished call says about the load of the server.
struct call_sample {
  /// The call got no answer or one that reports a fault of the server.
  bool Failed = false;
  /// Latency as a multiple of the usual latency of the route.
  double LatencyRatio = 1;
  /// The latency was far above the usual one; see `latency_baseline`.
  bool LatencySpike = false;
  /// Calls in flight when the call started, with itself.
  std::uint32_t InFlight = 1;
  steady_time Started;
  steady_time Finished;
};

/// Decides how many calls a server may run at a time.
class limit_policy {
public:
  virtual ~limit_policy() = default;

  /// Starts anew for a server with \p Slots.
  virtual void reset(std::uint32_t Slots, steady_time Now) = 0;

  virtual void addSample(const call_sample &Sample) = 0;

  /// Returns the limit, from 1 to the slots of the server.
  virtual std::uint32_t limit() const = 0;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_LIMIT_POLICY_H
