#ifndef GENTIANLUG_STORE_ZONE_STATE_H
#define GENTIANLUG_STORE_ZONE_STATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Why and by whom a zone was taken out.
struct zone_out {
  std::string Author;
  std::string Reason;
  wall_time Since;

  bool operator==(const zone_out &) const = default;
};

/// Moves that the state keeps for the operators' list of events.
inline constexpr std::size_t KeptZoneMoves = 20;

/// A zone that an operator took out or brought back.
struct zone_move {
  zone_name Zone;
  bool IsOut = false;
  std::string Author;
  std::string Reason;
  wall_time At;

  bool operator==(const zone_move &) const = default;
};

/// Value of `live/zones`: the zones that operators have taken out.
struct zone_state {
  std::map<zone_name, zone_out> Out;
  std::string WriteId;
  /// The last moves, newest last; see `KeptZoneMoves`.
  std::vector<zone_move> Moves = {};
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ZONE_STATE_H
