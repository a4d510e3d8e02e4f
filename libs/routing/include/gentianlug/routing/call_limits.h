#ifndef GENTIANLUG_ROUTING_CALL_LIMITS_H
#define GENTIANLUG_ROUTING_CALL_LIMITS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/result.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::routing {

/// Maximum length of a call chain. A longer one is taken for a routing loop.
inline constexpr std::uint32_t MaxCallDepth = 16;

/// Part of the remaining time that a node reserves, so that the response of the
/// next node still arrives, even if it is a refusal at its deadline.
inline constexpr std::chrono::milliseconds ResponseReserve{5};

/// Limits of a call as requested by its caller.
struct requested_limits {
  /// Remaining time, from `gl-deadline-ms`.
  std::optional<std::chrono::milliseconds> Timeout;
  /// Depth of the caller, from `gl-depth`; 0 for a call from outside the mesh.
  std::uint32_t Depth = 0;
};

/// Effective limits of a call at this node.
struct call_limits {
  steady_time Deadline{};
  /// Depth of the call in its chain, starting at 1.
  std::uint32_t Depth = 1;

  /// Returns the remaining time, at least 0.
  std::chrono::milliseconds remainingTime(steady_time Now) const;

  /// Returns the timeout for the next node: the remaining time less
  /// `ResponseReserve`, but at most a tenth less.
  std::chrono::milliseconds nextHopTimeout(steady_time Now) const;
};

/// Returns the limits of a call that arrives at \p Now. The deadline is the
/// earlier one of the caller's and the route's.
///
/// Errors: `DeadlinePassed`, `CallChainTooDeep`.
result<call_limits> makeCallLimits(const requested_limits &Requested,
                                   std::chrono::milliseconds RouteDeadline,
                                   steady_time Now);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_CALL_LIMITS_H
