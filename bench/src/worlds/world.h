#ifndef GENTIANLUG_BENCH_WORLDS_WORLD_H
#define GENTIANLUG_BENCH_WORLDS_WORLD_H

#include <lua.hpp>
#include <new>
#include <utility>

namespace gentianlug::bench {

/// Returns the receiver of a method call; raises a Lua error if it is no
/// `World`.
template <class World> World &checkWorld(lua_State *Lua) {
  return *static_cast<World *>(luaL_checkudata(Lua, 1, World::TypeName));
}

/// Constructs a `World` as Lua userdata with the methods in `World::Methods`.
template <class World, class... Arguments>
int pushWorld(lua_State *Lua, Arguments &&...Values) {
  void *Memory = lua_newuserdatauv(Lua, sizeof(World), 0);
  new (Memory) World(std::forward<Arguments>(Values)...);
  if (luaL_newmetatable(Lua, World::TypeName)) {
    luaL_setfuncs(Lua, World::Methods, 0);
    lua_pushvalue(Lua, -1);
    lua_setfield(Lua, -2, "__index");
    lua_pushcfunction(Lua, [](lua_State *L) {
      checkWorld<World>(L).~World();
      return 0;
    });
    lua_setfield(Lua, -2, "__gc");
  }
  lua_setmetatable(Lua, -2);
  return 1;
}

/// Registers the constructors of all worlds. A world is a deterministic
/// simulation: decision libraries under a manual clock and a seeded generator,
/// with fakes at their interfaces.
void registerWorlds(lua_State *Lua);

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_WORLD_H
