#ifndef GENTIANLUG_BENCH_WORLDS_WORLD_H
#define GENTIANLUG_BENCH_WORLDS_WORLD_H

#include <lua.hpp>
#include <new>
#include <utility>

namespace gentianlug::bench {

/// Returns the object that a method was called on.
template <class World> World &worldOf(lua_State *Lua) {
  return *static_cast<World *>(luaL_checkudata(Lua, 1, World::TypeName));
}

/// Creates a `World` as a Lua object with the methods of `World::Methods`.
template <class World, class... Arguments>
int pushWorld(lua_State *Lua, Arguments &&...Values) {
  void *Memory = lua_newuserdatauv(Lua, sizeof(World), 0);
  new (Memory) World(std::forward<Arguments>(Values)...);
  if (luaL_newmetatable(Lua, World::TypeName)) {
    luaL_setfuncs(Lua, World::Methods, 0);
    lua_pushvalue(Lua, -1);
    lua_setfield(Lua, -2, "__index");
    lua_pushcfunction(Lua, [](lua_State *L) {
      worldOf<World>(L).~World();
      return 0;
    });
    lua_setfield(Lua, -2, "__gc");
  }
  lua_setmetatable(Lua, -2);
  return 1;
}

/// Adds the constructors of all worlds: decision libraries under a set clock
/// and a seed, with small fakes at their interfaces.
void openWorlds(lua_State *Lua);

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_WORLD_H
