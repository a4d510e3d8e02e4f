#include "server_load.h"

#include <algorithm>

namespace gentianlug::standins {

std::optional<server_load::call_number>
server_load::startNext(const server_behaviour &Behaviour, steady_time Now) {
  if (Waiting.empty() || Running.size() >= capacity(Behaviour, Now))
    return std::nullopt;
  call_number Call = Waiting.front();
  Waiting.pop_front();
  Running.insert(Call);
  return Call;
}

void server_load::leave(call_number Call) {
  Running.erase(Call);
  std::erase(Waiting, Call);
}

std::uint32_t server_load::capacity(const server_behaviour &Behaviour,
                                    steady_time Now) const {
  auto Age = Now - Started;
  if (Age >= Behaviour.WarmUp)
    return Behaviour.Slots;
  double Warmth = std::chrono::duration<double>(Age) /
                  std::chrono::duration<double>(Behaviour.WarmUp);
  auto Grown = std::uint32_t(Warmth * Behaviour.Slots);
  return std::clamp(Grown, std::min(Behaviour.ColdLoad, Behaviour.Slots),
                    Behaviour.Slots);
}

bool server_load::fallsOver(const server_behaviour &Behaviour,
                            steady_time Now) {
  double Bound = Behaviour.FallOverFactor * capacity(Behaviour, Now);
  if (double(inFlight()) <= Bound) {
    OverloadedSince.reset();
    return false;
  }
  if (!OverloadedSince)
    OverloadedSince = Now;
  return Now - *OverloadedSince >= Behaviour.FallOverAfter;
}

void server_load::restart(steady_time Now) {
  Started = Now;
  OverloadedSince.reset();
  Running.clear();
}

void server_load::clear() {
  Waiting.clear();
  Running.clear();
  OverloadedSince.reset();
}

} // namespace gentianlug::standins
