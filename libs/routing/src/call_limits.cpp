#include "gentianlug/routing/call_limits.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>

namespace gentianlug::routing {

using std::chrono::milliseconds;

milliseconds call_limits::remainingTime(steady_time Now) const {
  auto Remaining = std::chrono::duration_cast<milliseconds>(Deadline - Now);
  return std::max(Remaining, milliseconds(0));
}

milliseconds call_limits::nextHopTimeout(steady_time Now) const {
  milliseconds Remaining = remainingTime(Now);
  constexpr int MinTimeToReserveRatio = 10;
  return Remaining -
         std::min(ResponseReserve, Remaining / MinTimeToReserveRatio);
}

result<call_limits> makeCallLimits(const requested_limits &Requested,
                                   milliseconds RouteDeadline,
                                   steady_time Now) {
  if (Requested.Depth >= MaxCallDepth)
    return makeError(routing_errc::CallChainTooDeep,
                     "depth " + std::to_string(Requested.Depth + 1) +
                         ", the bound is " + std::to_string(MaxCallDepth));
  milliseconds Timeout =
      std::min(RouteDeadline, Requested.Timeout.value_or(RouteDeadline));
  if (Timeout <= milliseconds(0))
    return makeError(routing_errc::DeadlinePassed);
  return call_limits{Now + Timeout, Requested.Depth + 1};
}

} // namespace gentianlug::routing
