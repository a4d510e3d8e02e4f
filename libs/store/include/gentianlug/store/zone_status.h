#ifndef GENTIANLUG_STORE_ZONE_STATUS_H
#define GENTIANLUG_STORE_ZONE_STATUS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Maximum number of refusals that a zone status lists; others are omitted.
inline constexpr std::size_t MaxListedRefusals = 10;

/// A configuration version that a node refused as a whole.
struct config_refusal {
  node_id Node;
  config_version Version = 0;
  std::string Reason;

  bool operator==(const config_refusal &) const = default;
};

/// Value of `status/ZONE`: the versions in force on the nodes of one zone.
struct zone_status {
  zone_name Zone;
  site_name Site;
  std::map<config_version, std::uint32_t> NodesByVersion;
  std::vector<config_refusal> Refusals;
  wall_time UpdatedAt;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ZONE_STATUS_H
