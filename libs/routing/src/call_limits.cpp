#include "gentianlug/routing/call_limits.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>

namespace gentianlug::routing {

using std::chrono::milliseconds;

milliseconds call_limits::timeLeft(steady_time Now) const {
  auto Left = std::chrono::duration_cast<milliseconds>(Deadline - Now);
  return std::max(Left, milliseconds(0));
}

milliseconds call_limits::timeForNextNode(steady_time Now) const {
  milliseconds Left = timeLeft(Now);
  constexpr int LargestReservePart = 10;
  return Left - std::min(AnswerReserve, Left / LargestReservePart);
}

result<call_limits> limitCall(const stated_limits &Stated,
                              milliseconds RouteDeadline, steady_time Now) {
  if (Stated.Depth >= MaxCallDepth)
    return makeError(routing_errc::TooDeep,
                     "depth " + std::to_string(Stated.Depth + 1) +
                         ", the bound is " + std::to_string(MaxCallDepth));
  milliseconds Time =
      std::min(RouteDeadline, Stated.Deadline.value_or(RouteDeadline));
  if (Time <= milliseconds(0))
    return makeError(routing_errc::DeadlinePassed);
  return call_limits{Now + Time, Stated.Depth + 1};
}

} // namespace gentianlug::routing
