#include "lua_json.h"

namespace gentianlug::bench {

using nlohmann::json;

static void pushArray(lua_State *Lua, const json &Json) {
  lua_createtable(Lua, int(Json.size()), 0);
  for (std::size_t Index = 0; Index < Json.size(); ++Index) {
    pushJson(Lua, Json[Index]);
    lua_rawseti(Lua, -2, lua_Integer(Index) + 1);
  }
}

static void pushObject(lua_State *Lua, const json &Json) {
  lua_createtable(Lua, 0, int(Json.size()));
  for (const auto &Item : Json.items()) {
    pushJson(Lua, Item.value());
    lua_setfield(Lua, -2, Item.key().c_str());
  }
}

void pushJson(lua_State *Lua, const json &Json) {
  luaL_checkstack(Lua, 4, "JSON is nested too deeply");
  if (Json.is_object())
    return pushObject(Lua, Json);
  if (Json.is_array())
    return pushArray(Lua, Json);
  if (Json.is_string()) {
    const auto &Text = Json.get_ref<const std::string &>();
    lua_pushlstring(Lua, Text.data(), Text.size());
  } else if (Json.is_boolean()) {
    lua_pushboolean(Lua, Json.get<bool>());
  } else if (Json.is_number_integer()) {
    lua_pushinteger(Lua, Json.get<lua_Integer>());
  } else if (Json.is_number()) {
    lua_pushnumber(Lua, Json.get<double>());
  } else {
    lua_pushnil(Lua);
  }
}

static json tableToJson(lua_State *Lua, int Index) {
  json Json = json::object();
  if (lua_rawlen(Lua, Index) > 0) {
    Json = json::array();
    for (lua_Unsigned Item = 1; Item <= lua_rawlen(Lua, Index); ++Item) {
      lua_rawgeti(Lua, Index, lua_Integer(Item));
      Json.push_back(toJson(Lua, -1));
      lua_pop(Lua, 1);
    }
    return Json;
  }
  lua_pushnil(Lua);
  while (lua_next(Lua, Index)) {
    lua_pushvalue(Lua, -2);
    std::string Key = lua_tostring(Lua, -1);
    lua_pop(Lua, 1);
    Json[Key] = toJson(Lua, -1);
    lua_pop(Lua, 1);
  }
  return Json;
}

json toJson(lua_State *Lua, int Index) {
  Index = lua_absindex(Lua, Index);
  switch (lua_type(Lua, Index)) {
  case LUA_TBOOLEAN:
    return bool(lua_toboolean(Lua, Index));
  case LUA_TNUMBER:
    if (lua_isinteger(Lua, Index))
      return lua_tointeger(Lua, Index);
    return lua_tonumber(Lua, Index);
  case LUA_TSTRING: {
    std::size_t Size = 0;
    const char *Text = lua_tolstring(Lua, Index, &Size);
    return std::string(Text, Size);
  }
  case LUA_TTABLE:
    return tableToJson(Lua, Index);
  default:
    return nullptr;
  }
}

} // namespace gentianlug::bench
