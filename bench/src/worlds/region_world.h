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

/// The distributed state of nodes in two regions that can lose each other.
///
/// `region_world(nodes_per_region, seed)` has the methods `advance(seconds)`,
/// `cut(flag)`, `accept(region)` (a new version, read by the first node of the
/// region), `lowest(region)` and `highest()` (version in force), `went_back()`
/// (how often a version in force fell), and `known(region)` (members that the
/// first node of the region takes for alive).
class region_world {
public:
  static constexpr const char *TypeName = "gentianlug.region_world";
  static const luaL_Reg Methods[];

  region_world(std::size_t NodesPerRegion, std::uint64_t Seed);

  /// Moves time forward. Each second every node polls one node that it
  /// reaches, and the first node of a region suspects those that it does not
  /// reach.
  void advance(std::chrono::seconds Time);

  void setPartitioned(bool Next) { Partitioned = Next; }

  /// Accepts the next version on the side of \p Region, 1 or 2.
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
    config_version HighestInForce = 0;
  };

  bool reaches(const region_node &From, const region_node &To) const {
    return !Partitioned || From.Region == To.Region;
  }
  void poll(region_node &Node, region_node &Peer);
  void suspectUnreachable(region_node &Node);
  const region_node &firstOf(std::size_t Region) const;

  manual_clock Clock;
  generator Gen;
  std::vector<region_node> Nodes;
  bool Partitioned = false;
  config_version Accepted = 0;
  std::uint64_t VersionRegressions = 0;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_REGION_WORLD_H
