#include "worlds/lease_world.h"

#include "worlds/world.h"

#include <algorithm>

namespace gentianlug::bench {

using std::chrono::milliseconds;
using store::lease_action;
using store::lease_operation;

static constexpr milliseconds Step{50};

lease_world::lease_world(std::size_t Count, std::uint64_t Seed) : Gen(Seed) {
  for (std::size_t Index = 1; Index <= Count; ++Index) {
    node_id Node("node-" + std::to_string(Index));
    Contenders.push_back({store::lease_contender(Node, {}), false});
  }
}

void lease_world::advance(milliseconds Time) {
  for (; Time > milliseconds(0); Time -= Step) {
    Clock.advance(Step);
    for (contender &Contender : Contenders)
      if (!Contender.Paused)
        step(Contender);
    MaxConcurrentHolders = std::max(MaxConcurrentHolders, countHolders());
  }
}

void lease_world::setPaused(std::size_t Index, bool Paused) {
  Contenders.at(Index - 1).Paused = Paused;
}

void lease_world::step(contender &Contender) {
  steady_time Now = Clock.steadyNow();
  lease_action Action = Contender.Lease.next(Now, Gen);
  if (Action.Operation == lease_operation::Wait)
    return;
  if (StoreDown)
    return Contender.Lease.onNoResponse(Now);
  if (Action.Operation == lease_operation::Write)
    return write(Contender, Action);
  if (Stored.Revision == 0)
    return Contender.Lease.onRead(Now, std::nullopt);
  Contender.Lease.onRead(Now, Stored);
}

void lease_world::write(contender &Contender, const lease_action &Action) {
  steady_time Now = Clock.steadyNow();
  if (Action.ExpectedRevision != Stored.Revision)
    return Contender.Lease.onConflict(Now);
  Stored = {Action.Value, Stored.Revision + 1};
  if (drawBool(Gen, LostResponseRate))
    return Contender.Lease.onNoResponse(Now);
  Contender.Lease.onWritten(Now, Stored.Revision);
}

std::size_t lease_world::countHolders() const {
  return std::size_t(std::count_if(
      Contenders.begin(), Contenders.end(), [&](const contender &Contender) {
        return !Contender.Paused && Contender.Lease.holds(Clock.steadyNow());
      }));
}

std::size_t lease_world::holder() const {
  for (std::size_t Index = 0; Index < Contenders.size(); ++Index)
    if (!Contenders[Index].Paused &&
        Contenders[Index].Lease.holds(Clock.steadyNow()))
      return Index + 1;
  return 0;
}

const luaL_Reg lease_world::Methods[] = {
    {"advance",
     [](lua_State *L) {
       checkWorld<lease_world>(L).advance(
           milliseconds(luaL_checkinteger(L, 2)));
       return 0;
     }},
    {"pause",
     [](lua_State *L) {
       checkWorld<lease_world>(L).setPaused(
           std::size_t(luaL_checkinteger(L, 2)), true);
       return 0;
     }},
    {"resume",
     [](lua_State *L) {
       checkWorld<lease_world>(L).setPaused(
           std::size_t(luaL_checkinteger(L, 2)), false);
       return 0;
     }},
    {"store_down",
     [](lua_State *L) {
       checkWorld<lease_world>(L).setStoreDown(lua_toboolean(L, 2));
       return 0;
     }},
    {"lose_answers",
     [](lua_State *L) {
       checkWorld<lease_world>(L).setLostResponseRate(luaL_checknumber(L, 2));
       return 0;
     }},
    {"holder",
     [](lua_State *L) {
       lua_pushinteger(L, lua_Integer(checkWorld<lease_world>(L).holder()));
       return 1;
     }},
    {"most_holders",
     [](lua_State *L) {
       lua_pushinteger(
           L, lua_Integer(checkWorld<lease_world>(L).maxConcurrentHolders()));
       return 1;
     }},
    {"epoch",
     [](lua_State *L) {
       lua_pushinteger(L, lua_Integer(checkWorld<lease_world>(L).epoch()));
       return 1;
     }},
    {nullptr, nullptr},
};

} // namespace gentianlug::bench
