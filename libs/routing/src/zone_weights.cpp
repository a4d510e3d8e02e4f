#include "gentianlug/routing/zone_weights.h"

namespace gentianlug::routing {

void zone_weights::update(const std::set<zone_name> &ZonesOut,
                          steady_time Now) {
  for (const zone_name &Zone : Out)
    if (!ZonesOut.count(Zone))
      Returned[Zone] = Now;
  for (const zone_name &Zone : ZonesOut)
    Returned.erase(Zone);
  std::erase_if(Returned, [&](const auto &Entry) {
    return Now - Entry.second >= ZoneRampTime;
  });
  Out = ZonesOut;
}

double zone_weights::weight(const zone_name &Zone, steady_time Now) const {
  if (Out.count(Zone))
    return 0;
  auto Entry = Returned.find(Zone);
  if (Entry == Returned.end() || Now - Entry->second >= ZoneRampTime)
    return 1;
  double Passed = std::chrono::duration<double>(Now - Entry->second) /
                  std::chrono::duration<double>(ZoneRampTime);
  return FirstZoneWeight + (1 - FirstZoneWeight) * Passed;
}

} // namespace gentianlug::routing
