#ifndef GENTIANLUG_STORE_ZONE_STATE_H
#define GENTIANLUG_STORE_ZONE_STATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Why and by whom a zone was taken out.
struct out_of_service_zone {
  std::string Author;
  std::string Reason;
  wall_time Since;

  bool operator==(const out_of_service_zone &) const = default;
};

/// Moves that the state keeps for the operators' list of events.
inline constexpr std::size_t MaxZoneChanges = 20;

/// A zone that an operator took out or brought back.
struct zone_change {
  zone_name Zone;
  bool OutOfService = false;
  std::string Author;
  std::string Reason;
  wall_time At;

  bool operator==(const zone_change &) const = default;
};

/// Value of `liveValues/zones`: the zones that operators have taken out.
struct zone_state {
  std::map<zone_name, out_of_service_zone> OutOfService;
  std::string WriteId;
  /// The last moves, newest last; see `MaxZoneChanges`.
  std::vector<zone_change> RecentChanges = {};
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ZONE_STATE_H
