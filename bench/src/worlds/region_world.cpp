#include "worlds/region_world.h"

#include "gentianlug/config/parts.h"
#include "worlds/world.h"

#include <algorithm>

namespace gentianlug::bench {

using distribution::node_state;
using distribution::update_outcome;
using distribution::update_source;
using membership::member_record;
using membership::member_state;

static constexpr std::size_t Regions = 2;

region_world::region_world(std::size_t NodesPerRegion, std::uint64_t Seed)
    : Gen(Seed) {
  for (std::size_t Index = 0; Index < Regions * NodesPerRegion; ++Index) {
    region_node Node;
    Node.Name = node_id("node-" + std::to_string(Index + 1));
    Node.Region = Index / NodesPerRegion + 1;
    Node.State = std::make_unique<node_state>(Node.Name, Index + 1);
    member_record Own;
    Own.Node = Node.Name;
    Own.Incarnation = 1;
    Own.State = member_state::Serving;
    Node.State->setOwnRecord(Own, Clock.steadyNow());
    Nodes.push_back(std::move(Node));
  }
}

void region_world::advance(std::chrono::seconds Time) {
  for (; Time > std::chrono::seconds(0); Time -= std::chrono::seconds(1)) {
    Clock.advance(std::chrono::seconds(1));
    for (region_node &Node : Nodes) {
      region_node &Peer = Nodes[drawIndex(Gen, Nodes.size())];
      if (&Peer != &Node && canReach(Node, Peer))
        poll(Node, Peer);
      if (&Node == &firstNode(Node.Region))
        suspectUnreachable(Node);
      Node.State->expireSuspects(Clock.steadyNow());
    }
  }
}

void region_world::poll(region_node &Node, region_node &Peer) {
  distribution::sync_request Request;
  Request.From.Node = Node.Name;
  Request.Cursor = Node.Cursors[&Peer];
  Request.ConfigVersion = Node.State->configVersion();
  const auto &Buckets = Node.State->members().bucketDigests();
  Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
  distribution::state_update Update = Peer.State->updateFor(Request);
  update_outcome Outcome =
      Node.State->apply(Update, update_source::Upstream, Clock.steadyNow());
  Node.Cursors[&Peer] = Update.Cursor;
  // Anti-entropy: without a cursor the next poll requests the buckets that
  // differ.
  if (Peer.State->members().digest() != Node.State->members().digest())
    Node.Cursors.erase(&Peer);
  Peer.State->applyMembers(Outcome.RecordsForRoot, update_source::Subtree,
                           Clock.steadyNow());
  if (Node.State->configVersion() < Node.LastActiveVersion)
    ++VersionRegressions;
  Node.LastActiveVersion = Node.State->configVersion();
}

void region_world::suspectUnreachable(region_node &Node) {
  for (const region_node &Other : Nodes)
    if (!canReach(Node, Other))
      Node.State->suspect(Other.Name, Clock.steadyNow());
}

void region_world::accept(std::size_t Region) {
  config::site_configuration Configuration;
  Configuration.Site = site_name("site");
  config::service Service;
  Service.Name = service_name("commandes");
  Service.Version = version_name("v" + std::to_string(++Accepted));
  Configuration.Services.push_back(Service);
  distribution::config_image Image{Accepted, "",
                                   config::splitIntoParts(Configuration)};
  Image.RootHash = config::rootHash(config::hashesOf(Image.Parts));
  auto Versioned = std::make_shared<config::versioned_configuration>();
  Versioned->Version = Accepted;
  Versioned->RootHash = Image.RootHash;
  Versioned->Configuration = std::move(Configuration);
  auto First =
      std::find_if(Nodes.begin(), Nodes.end(), [&](const region_node &Node) {
        return Node.Region == Region;
      });
  First->State->activate(std::move(Image), std::move(Versioned));
}

const region_world::region_node &
region_world::firstNode(std::size_t Region) const {
  return *std::find_if(
      Nodes.begin(), Nodes.end(),
      [&](const region_node &Node) { return Node.Region == Region; });
}

config_version region_world::lowest(std::size_t Region) const {
  config_version Lowest = Accepted;
  for (const region_node &Node : Nodes)
    if (Node.Region == Region)
      Lowest = std::min(Lowest, Node.State->configVersion());
  return Lowest;
}

config_version region_world::highest() const {
  config_version Highest = 0;
  for (const region_node &Node : Nodes)
    Highest = std::max(Highest, Node.State->configVersion());
  return Highest;
}

std::size_t region_world::aliveMembers(std::size_t Region) const {
  const node_state &State = *firstNode(Region).State;
  return std::size_t(
      std::count_if(Nodes.begin(), Nodes.end(), [&](const region_node &Node) {
        const member_record *Record = State.members().find(Node.Name);
        return Record && Record->State == member_state::Serving;
      }));
}

static std::size_t checkRegion(lua_State *Lua) {
  auto Region = luaL_checkinteger(Lua, 2);
  luaL_argcheck(Lua, Region >= 1 && Region <= lua_Integer(Regions), 2,
                "must be 1 or 2");
  return std::size_t(Region);
}

const luaL_Reg region_world::Methods[] = {
    {"advance",
     [](lua_State *L) {
       checkWorld<region_world>(L).advance(
           std::chrono::seconds(luaL_checkinteger(L, 2)));
       return 0;
     }},
    {"cut",
     [](lua_State *L) {
       checkWorld<region_world>(L).setPartitioned(lua_toboolean(L, 2));
       return 0;
     }},
    {"accept",
     [](lua_State *L) {
       checkWorld<region_world>(L).accept(checkRegion(L));
       return 0;
     }},
    {"lowest",
     [](lua_State *L) {
       lua_pushinteger(
           L, lua_Integer(checkWorld<region_world>(L).lowest(checkRegion(L))));
       return 1;
     }},
    {"highest",
     [](lua_State *L) {
       lua_pushinteger(L, lua_Integer(checkWorld<region_world>(L).highest()));
       return 1;
     }},
    {"went_back",
     [](lua_State *L) {
       lua_pushinteger(
           L, lua_Integer(checkWorld<region_world>(L).versionRegressions()));
       return 1;
     }},
    {"known",
     [](lua_State *L) {
       lua_pushinteger(L, lua_Integer(checkWorld<region_world>(L).aliveMembers(
                              checkRegion(L))));
       return 1;
     }},
    {nullptr, nullptr},
};

} // namespace gentianlug::bench
