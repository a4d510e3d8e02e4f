#ifndef GENTIANLUG_MESH_RELAY_ORDER_H
#define GENTIANLUG_MESH_RELAY_ORDER_H

#include "gentianlug/mesh/model.h"

namespace gentianlug::mesh {

/// Nodes that share one relay. More nodes make more groups, so that the work of
/// a relay does not grow with the fleet.
inline constexpr std::size_t NodesPerRelay = 64;

/// Returns the nodes that may relay the store to \p Self, best first: those of
/// its zone and group, strong links first. All nodes that know the same servers
/// get the same order for a group.
///
/// Complexity: n log n in the servers of the zone.
std::vector<server_record> relayOrder(const std::vector<server_record> &Servers,
                                      const zone_name &Zone,
                                      const node_id &Self);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_RELAY_ORDER_H
