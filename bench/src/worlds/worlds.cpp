#include "worlds/lease_world.h"
#include "worlds/region_world.h"
#include "worlds/world.h"

namespace gentianlug::bench {

/// Largest number of parts of a world; its steps are quadratic in it.
static constexpr lua_Integer MaxParts = 100;

/// Constructs a world from a count and a seed.
template <class World> static int construct(lua_State *Lua) {
  auto Count = luaL_checkinteger(Lua, 1);
  luaL_argcheck(Lua, Count >= 1 && Count <= MaxParts, 1,
                "must be from 1 to 100");
  return pushWorld<World>(Lua, std::size_t(Count),
                          std::uint64_t(luaL_checkinteger(Lua, 2)));
}

void openWorlds(lua_State *Lua) {
  lua_register(Lua, "lease_world", construct<lease_world>);
  lua_register(Lua, "region_world", construct<region_world>);
}

} // namespace gentianlug::bench
