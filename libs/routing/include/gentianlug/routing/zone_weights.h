#ifndef GENTIANLUG_ROUTING_ZONE_WEIGHTS_H
#define GENTIANLUG_ROUTING_ZONE_WEIGHTS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <map>
#include <set>

namespace gentianlug::routing {

/// Weight of a zone just after its return, and the time to full weight.
inline constexpr double InitialZoneWeight = 0.1;
inline constexpr std::chrono::milliseconds ZoneRampTime{10000};

/// Which availability zones take part in load balancing, and how much.
class zone_weights {
public:
  /// Takes over the zones that operators have taken out. A zone that is no
  /// longer among them starts its ramp at \p Now.
  void update(const std::set<zone_name> &ZonesOut, steady_time Now);

  /// Returns the weight of \p Zone: 0 while it is out, then from
  /// `InitialZoneWeight` linearly to 1.
  double weight(const zone_name &Zone, steady_time Now) const;

private:
  std::set<zone_name> OutOfService;
  std::map<zone_name, steady_time> ReturnTimes;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ZONE_WEIGHTS_H
