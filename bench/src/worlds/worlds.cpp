#include "worlds/lease_world.h"
#include "worlds/region_world.h"
#include "worlds/world.h"

namespace gentianlug::bench {

/// Maximum number of contenders, or nodes per region. The cost of a step is
/// quadratic in it.
static constexpr lua_Integer MaxWorldSize = 100;

/// Lua constructor of a world; takes a size and a seed.
template <class World> static int construct(lua_State *Lua) {
  auto Size = luaL_checkinteger(Lua, 1);
  luaL_argcheck(Lua, Size >= 1 && Size <= MaxWorldSize, 1,
                "must be from 1 to 100");
  return pushWorld<World>(Lua, std::size_t(Size),
                          std::uint64_t(luaL_checkinteger(Lua, 2)));
}

void registerWorlds(lua_State *Lua) {
  lua_register(Lua, "lease_world", construct<lease_world>);
  lua_register(Lua, "region_world", construct<region_world>);
}

} // namespace gentianlug::bench
