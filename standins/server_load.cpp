#include "server_load.h"

#include <algorithm>

namespace gentianlug::standins {

std::optional<server_load::call_number>
server_load::startNext(const server_behaviour &Behaviour, steady_time Now) {
  if (Queue.empty() || Running.size() >= capacity(Behaviour, Now))
    return std::nullopt;
  call_number Call = Queue.front();
  Queue.pop_front();
  Running.insert(Call);
  return Call;
}

void server_load::remove(call_number Call) {
  Running.erase(Call);
  std::erase(Queue, Call);
}

std::uint32_t server_load::capacity(const server_behaviour &Behaviour,
                                    steady_time Now) const {
  auto Age = Now - StartTime;
  if (Age >= Behaviour.WarmUpTime)
    return Behaviour.Slots;
  double WarmUpProgress = std::chrono::duration<double>(Age) /
                          std::chrono::duration<double>(Behaviour.WarmUpTime);
  auto WarmSlots = std::uint32_t(WarmUpProgress * Behaviour.Slots);
  return std::clamp(WarmSlots, std::min(Behaviour.ColdSlots, Behaviour.Slots),
                    Behaviour.Slots);
}

bool server_load::shouldCrash(const server_behaviour &Behaviour,
                              steady_time Now) {
  double MaxInFlight = Behaviour.CrashLoadFactor * capacity(Behaviour, Now);
  if (double(inFlight()) <= MaxInFlight) {
    OverloadedSince.reset();
    return false;
  }
  if (!OverloadedSince)
    OverloadedSince = Now;
  return Now - *OverloadedSince >= Behaviour.OverloadTimeUntilCrash;
}

void server_load::restart(steady_time Now) {
  StartTime = Now;
  OverloadedSince.reset();
  Running.clear();
}

void server_load::clear() {
  Queue.clear();
  Running.clear();
  OverloadedSince.reset();
}

} // namespace gentianlug::standins
