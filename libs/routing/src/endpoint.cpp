#include "gentianlug/routing/endpoint.h"

#include <algorithm>

namespace gentianlug::routing {

static bool isFresh(const endpoint &Endpoint, steady_time Now) {
  return Endpoint.Load && Now - Endpoint.LoadTime < ReportedLoadTtl;
}

std::uint32_t endpoint::limit(steady_time Now) const {
  return std::max(1u, isFresh(*this, Now) ? Load->Limit : Member.Slots);
}

std::uint32_t endpoint::load(steady_time Now) const {
  return InFlight + (isFresh(*this, Now) ? Load->InFlight + Load->Queued : 0);
}

std::chrono::microseconds endpoint::expectedWait(steady_time Now) const {
  std::uint32_t Calls = load(Now) + 1;
  std::uint32_t Limit = limit(Now);
  if (Calls <= Limit)
    return std::chrono::microseconds(0);
  auto CallLatency = Samples > 0 ? Latency : DefaultLatency;
  return CallLatency * (Calls - Limit) / Limit;
}

} // namespace gentianlug::routing
