#ifndef GENTIANLUG_STORE_ZONE_STATE_H
#define GENTIANLUG_STORE_ZONE_STATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Who took a zone out of service, when and why.
struct out_of_service_zone {
  std::string Author;
  std::string Reason;
  wall_time Since;

  bool operator==(const out_of_service_zone &) const = default;
};

/// Number of zone changes kept for the operators' list of events.
inline constexpr std::size_t MaxZoneChanges = 20;

/// Change by which an operator took a zone out of service or brought it back.
struct zone_change {
  zone_name Zone;
  bool OutOfService = false;
  std::string Author;
  std::string Reason;
  wall_time At;

  bool operator==(const zone_change &) const = default;
};

/// Value of `live/zones`: the zones that operators took out of service.
struct zone_state {
  std::map<zone_name, out_of_service_zone> OutOfService;
  std::string WriteId;
  /// The most recent changes, newest last; see `MaxZoneChanges`.
  std::vector<zone_change> RecentChanges = {};
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ZONE_STATE_H
