#include "gentianlug/routing/call_limits.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>

namespace gentianlug::routing {

using std::chrono::milliseconds;

milliseconds call_limits::remainingTime(steady_time Now) const {
  auto Left = std::chrono::duration_cast<milliseconds>(Deadline - Now);
  return std::max(Left, milliseconds(0));
}

milliseconds call_limits::nextHopTimeout(steady_time Now) const {
  milliseconds Left = remainingTime(Now);
  constexpr int LargestReservePart = 10;
  return Left - std::min(ResponseReserve, Left / LargestReservePart);
}

result<call_limits> makeCallLimits(const requested_limits &Stated,
                                   milliseconds RouteDeadline,
                                   steady_time Now) {
  if (Stated.Depth >= MaxCallDepth)
    return makeError(routing_errc::CallChainTooDeep,
                     "depth " + std::to_string(Stated.Depth + 1) +
                         ", the bound is " + std::to_string(MaxCallDepth));
  milliseconds Time =
      std::min(RouteDeadline, Stated.Timeout.value_or(RouteDeadline));
  if (Time <= milliseconds(0))
    return makeError(routing_errc::DeadlinePassed);
  return call_limits{Now + Time, Stated.Depth + 1};
}

} // namespace gentianlug::routing
