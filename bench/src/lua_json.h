#ifndef GENTIANLUG_BENCH_LUA_JSON_H
#define GENTIANLUG_BENCH_LUA_JSON_H

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace gentianlug::bench {

/// Pushes a JSON value onto the stack; null becomes nil.
void pushJson(lua_State *Lua, const nlohmann::json &Json);

/// Converts the value at \p Index to JSON. A table with a first element becomes
/// an array and any other table an object; other types become null.
nlohmann::json toJson(lua_State *Lua, int Index);

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_LUA_JSON_H
