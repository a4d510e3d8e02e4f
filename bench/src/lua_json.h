#ifndef GENTIANLUG_BENCH_LUA_JSON_H
#define GENTIANLUG_BENCH_LUA_JSON_H

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace gentianlug::bench {

/// Pushes a JSON value. Null becomes nil.
void pushJson(lua_State *Lua, const nlohmann::json &Json);

/// Converts the value at \p Index. A table with a first element is an array;
/// an empty table is an object.
nlohmann::json toJson(lua_State *Lua, int Index);

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_LUA_JSON_H
