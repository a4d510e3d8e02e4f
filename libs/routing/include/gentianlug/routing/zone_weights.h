#ifndef GENTIANLUG_ROUTING_ZONE_WEIGHTS_H
#define GENTIANLUG_ROUTING_ZONE_WEIGHTS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <map>
#include <set>

namespace gentianlug::routing {

/// Weight of a zone when it returns to service, and the time until it has the
/// full weight of 1.
inline constexpr double InitialZoneWeight = 0.1;
inline constexpr std::chrono::milliseconds ZoneRampTime{10000};

/// Load balancing weights of availability zones.
class zone_weights {
public:
  /// Sets the zones that operators have taken out of service. The weight of a
  /// zone that is no longer among them starts to ramp up at \p Now.
  void update(const std::set<zone_name> &ZonesOutOfService, steady_time Now);

  /// Returns the weight of \p Zone: 0 while it is out of service, then rising
  /// linearly from `InitialZoneWeight` to 1.
  double weight(const zone_name &Zone, steady_time Now) const;

private:
  std::set<zone_name> OutOfService;
  std::map<zone_name, steady_time> ReturnTimes;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ZONE_WEIGHTS_H
