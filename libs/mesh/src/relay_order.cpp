#include "gentianlug/mesh/relay_order.h"

#include "gentianlug/core/hash.h"

#include <algorithm>

namespace gentianlug::mesh {

std::vector<server_record> relayOrder(const std::vector<server_record> &Servers,
                                      const zone_name &Zone,
                                      const node_id &Self) {
  std::vector<server_record> Order;
  for (const server_record &Each : Servers)
    if (Each.Zone == Zone && (Each.State == server_state::Ready ||
                              Each.State == server_state::Draining))
      Order.push_back(Each);
  std::size_t Groups = (Order.size() + NodesPerRelay - 1) / NodesPerRelay;
  if (Groups > 1) {
    std::size_t Own = hash64(Self.str()) % Groups;
    std::erase_if(Order, [&](const server_record &Each) {
      return hash64(Each.Node.str()) % Groups != Own;
    });
  }
  std::sort(Order.begin(), Order.end(),
            [](const server_record &Left, const server_record &Right) {
              if (Left.LinkMbps != Right.LinkMbps)
                return Left.LinkMbps > Right.LinkMbps;
              return hash64(Left.Node.str()) < hash64(Right.Node.str());
            });
  return Order;
}

} // namespace gentianlug::mesh
