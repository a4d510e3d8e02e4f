#include "gentianlug/routing/zone_weights.h"

namespace gentianlug::routing {

void zone_weights::update(const std::set<zone_name> &ZonesOutOfService,
                          steady_time Now) {
  for (const zone_name &Zone : OutOfService)
    if (!ZonesOutOfService.count(Zone))
      ReturnTimes[Zone] = Now;
  for (const zone_name &Zone : ZonesOutOfService)
    ReturnTimes.erase(Zone);
  std::erase_if(ReturnTimes, [&](const auto &Entry) {
    return Now - Entry.second >= ZoneRampTime;
  });
  OutOfService = ZonesOutOfService;
}

double zone_weights::weight(const zone_name &Zone, steady_time Now) const {
  if (OutOfService.count(Zone))
    return 0;
  auto Entry = ReturnTimes.find(Zone);
  if (Entry == ReturnTimes.end() || Now - Entry->second >= ZoneRampTime)
    return 1;
  double RampProgress = std::chrono::duration<double>(Now - Entry->second) /
                        std::chrono::duration<double>(ZoneRampTime);
  return InitialZoneWeight + (1 - InitialZoneWeight) * RampProgress;
}

} // namespace gentianlug::routing
