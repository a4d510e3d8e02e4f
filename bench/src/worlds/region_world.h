#ifndef GENTIANLUG_BENCH_WORLDS_REGION_WORLD_H
#define GENTIANLUG_BENCH_WORLDS_REGION_WORLD_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/distribution/node_state.h"

#include <lua.hpp>
#include <map>
#include <memory>
#include <vector>

namespace gentianlug::bench {

/// Simulation of state distribution among nodes in two regions that can be
/// partitioned.
///
/// `region_world(nodes_per_region, seed)` has the methods `advance(seconds)`,
/// `cut(flag)` (partitions the regions), `accept(region)` (accepts a new
/// version, which the first node of the region reads), `lowest(region)` and
/// `highest()` (active version), `went_back()` (number of times the active
/// version of a node decreased), and `known(region)` (number of members that
/// the first node of the region considers alive).
class region_world {
public:
  static constexpr const char *TypeName = "gentianlug.region_world";
  static const luaL_Reg Methods[];

  region_world(std::size_t NodesPerRegion, std::uint64_t Seed);

  /// Advances the clock. Each second every node draws a random node and polls
  /// it if it is reachable, and the first node of each region suspects the
  /// nodes that it cannot reach.
  void advance(std::chrono::seconds Time);

  void setPartitioned(bool Value) { Partitioned = Value; }

  /// Accepts the next configuration version and activates it on the first node
  /// of \p Region, 1 or 2.
  void accept(std::size_t Region);

  config_version lowest(std::size_t Region) const;
  config_version highest() const;
  std::uint64_t versionRegressions() const { return VersionRegressions; }
  std::size_t aliveMembers(std::size_t Region) const;

private:
  struct region_node {
    node_id Name;
    std::size_t Region = 0;
    std::unique_ptr<distribution::node_state> State;
    std::map<const region_node *, distribution::log_cursor> Cursors;
    config_version LastActiveVersion = 0;
  };

  bool canReach(const region_node &From, const region_node &To) const {
    return !Partitioned || From.Region == To.Region;
  }
  void poll(region_node &Node, region_node &Peer);
  void suspectUnreachable(region_node &Node);
  const region_node &firstNode(std::size_t Region) const;

  manual_clock Clock;
  generator Gen;
  std::vector<region_node> Nodes;
  bool Partitioned = false;
  config_version Accepted = 0;
  std::uint64_t VersionRegressions = 0;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_REGION_WORLD_H
