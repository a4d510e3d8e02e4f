#ifndef GENTIANLUG_PLATFORM_ZONE_STATE_H
#define GENTIANLUG_PLATFORM_ZONE_STATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>

namespace gentianlug::platform {

/// Why and by whom a zone was taken out.
struct zone_out {
  std::string Author;
  std::string Reason;
  wall_time Since;
};

/// Value of `live/zones`: the zones that operators have taken out.
struct zone_state {
  std::map<zone_name, zone_out> Out;
  std::string WriteId;
};

} // namespace gentianlug::platform

#endif // GENTIANLUG_PLATFORM_ZONE_STATE_H
