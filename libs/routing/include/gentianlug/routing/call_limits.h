#ifndef GENTIANLUG_ROUTING_CALL_LIMITS_H
#define GENTIANLUG_ROUTING_CALL_LIMITS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/result.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::routing {

/// Longest chain of calls. A longer one is taken for a loop.
inline constexpr std::uint32_t MaxCallDepth = 16;

/// Time that a node keeps of the time left, so that the answer of the next
/// node, even a refusal at its deadline, still arrives.
inline constexpr std::chrono::milliseconds ResponseReserve{5};

/// Limits of a call as its caller states them.
struct requested_limits {
  /// Time left, from `gl-deadline-ms`.
  std::optional<std::chrono::milliseconds> Timeout;
  /// Depth of the caller, from `gl-depth`; 0 for a call from outside.
  std::uint32_t Depth = 0;
};

/// Limits of a call at this node.
struct call_limits {
  steady_time Deadline{};
  /// Depth of the call, from 1.
  std::uint32_t Depth = 1;

  /// Returns the time left, at least 0.
  std::chrono::milliseconds remainingTime(steady_time Now) const;

  /// Returns the time that the next node gets: the time left, less a reserve
  /// for its answer of at most a tenth.
  std::chrono::milliseconds nextHopTimeout(steady_time Now) const;
};

/// Returns the limits of a call that arrives at \p Now: the deadline is the
/// earlier one of the caller's and the route's.
///
/// Errors: `DeadlinePassed`, `CallChainTooDeep`.
result<call_limits> makeCallLimits(const requested_limits &Stated,
                                   std::chrono::milliseconds RouteDeadline,
                                   steady_time Now);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_CALL_LIMITS_H
