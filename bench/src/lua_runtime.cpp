#include "lua_runtime.h"

#include "gentianlug/core/hash.h"
#include "gentianlug/settings/json_file.h"
#include "lua_json.h"
#include "worlds/world.h"

#include <arpa/inet.h>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace gentianlug::bench {

using std::chrono::milliseconds;

/// Exit code when the script returns false because a target is missed.
static constexpr int ExitTargetsMissed = 3;

struct lua_runtime::impl {
  run_options Options;
  lua_State *Lua = luaL_newstate();
  processes Processes;
  blocking_http Http;
  generator Gen;
  std::uint32_t NextPort = std::uint32_t(getpid()) * 613;

  explicit impl(run_options O) : Options(std::move(O)), Gen(Options.Seed) {}
  ~impl() { lua_close(Lua); }
  impl(const impl &) = delete;
  impl &operator=(const impl &) = delete;

  static impl &fromUpvalue(lua_State *Lua) {
    return *static_cast<impl *>(lua_touserdata(Lua, lua_upvalueindex(1)));
  }

  void registerFunction(const char *Name, lua_CFunction Function) {
    lua_pushlightuserdata(Lua, this);
    lua_pushcclosure(Lua, Function, 1);
    lua_setglobal(Lua, Name);
  }

  void registerFunctions();
};

static int spawnProcess(lua_State *Lua, processes &Processes) {
  luaL_checktype(Lua, 1, LUA_TTABLE);
  std::vector<std::string> Arguments;
  for (lua_Unsigned Index = 1; Index <= lua_rawlen(Lua, 1); ++Index) {
    lua_rawgeti(Lua, 1, lua_Integer(Index));
    Arguments.emplace_back(luaL_checkstring(Lua, -1));
    lua_pop(Lua, 1);
  }
  auto Pid = Processes.spawn(Arguments, luaL_checkstring(Lua, 2));
  if (!Pid)
    return luaL_error(Lua, "%s", Pid.failure().message().c_str());
  lua_pushinteger(Lua, *Pid);
  return 1;
}

static int sendHttp(lua_State *Lua, blocking_http &Http) {
  net::http_request Request;
  Request.Method = luaL_checkstring(Lua, 1);
  auto Peer = parseAddress(luaL_checkstring(Lua, 2));
  if (!Peer)
    return luaL_error(Lua, "%s", Peer.failure().message().c_str());
  Request.Target = luaL_checkstring(Lua, 3);
  Request.Body = luaL_optstring(Lua, 4, "");
  nlohmann::json Headers = toJson(Lua, 5);
  if (Headers.is_object())
    for (const auto &Item : Headers.items())
      Request.Headers.add(Item.key(), Item.value().get<std::string>());
  auto Response =
      Http.send(*Peer, Request, milliseconds(luaL_optinteger(Lua, 6, 5000)));
  if (!Response) {
    lua_pushinteger(Lua, 0);
    lua_pushstring(Lua, Response.failure().message().c_str());
    return 2;
  }
  lua_pushinteger(Lua, Response->Status);
  lua_pushlstring(Lua, Response->Body.data(), Response->Body.size());
  lua_newtable(Lua);
  for (const auto &[Name, Value] : Response->Headers.fields()) {
    lua_pushstring(Lua, Value.c_str());
    lua_setfield(Lua, -2, Name.c_str());
  }
  return 3;
}

/// Returns whether \p Port can be bound on 127.0.0.1.
static bool isPortFree(std::uint16_t Port) {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool Bound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0;
  close(Socket);
  return Bound;
}

/// Returns a free port, or 0 if there is none. The search range lies below the
/// kernel's default ephemeral port range, and \p Next starts at a value derived
/// from the process id so that concurrent runs seldom collide.
static int findFreePort(std::uint32_t &Next) {
  constexpr std::uint32_t First = 10000;
  constexpr std::uint32_t Count = 20000;
  for (std::uint32_t Attempt = 0; Attempt < Count; ++Attempt) {
    auto Port = std::uint16_t(First + Next++ % Count);
    if (isPortFree(Port))
      return Port;
  }
  return 0;
}

static int hashContent(lua_State *Lua) {
  std::size_t Size = 0;
  const char *Bytes = luaL_checklstring(Lua, 1, &Size);
  lua_pushstring(Lua, contentHash({Bytes, Size}).c_str());
  return 1;
}

static int nowMillis(lua_State *Lua) {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  lua_pushnumber(Lua, std::chrono::duration<double, std::milli>(Now).count());
  return 1;
}

static int wallMillis(lua_State *Lua) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  lua_pushinteger(Lua, std::chrono::duration_cast<milliseconds>(Now).count());
  return 1;
}

static int sleepMillis(lua_State *Lua) {
  std::this_thread::sleep_for(milliseconds(luaL_checkinteger(Lua, 1)));
  return 0;
}

static int decodeJson(lua_State *Lua) {
  auto Json = settings::parseJson(luaL_checkstring(Lua, 1), "script");
  if (!Json)
    return luaL_error(Lua, "%s", Json.failure().message().c_str());
  pushJson(Lua, *Json);
  return 1;
}

static int encodeJson(lua_State *Lua) {
  lua_pushstring(Lua, toJson(Lua, 1).dump().c_str());
  return 1;
}

static int writeFile(lua_State *Lua) {
  std::ofstream File(luaL_checkstring(Lua, 1), std::ios::binary);
  File << luaL_checkstring(Lua, 2);
  if (!File.flush())
    return luaL_error(Lua, "cannot write file %s", lua_tostring(Lua, 1));
  return 0;
}

static int readFile(lua_State *Lua) {
  auto Text = settings::readFile(luaL_checkstring(Lua, 1));
  if (!Text)
    return luaL_error(Lua, "%s", Text.failure().message().c_str());
  lua_pushlstring(Lua, Text->data(), Text->size());
  return 1;
}

void lua_runtime::impl::registerFunctions() {
  registerFunction("spawn", [](lua_State *L) {
    return spawnProcess(L, impl::fromUpvalue(L).Processes);
  });
  registerFunction("signal", [](lua_State *L) {
    lua_pushboolean(
        L, impl::fromUpvalue(L).Processes.signal(pid_t(luaL_checkinteger(L, 1)),
                                                 int(luaL_checkinteger(L, 2))));
    return 1;
  });
  registerFunction("wait_exit", [](lua_State *L) {
    auto Code = impl::fromUpvalue(L).Processes.wait(
        pid_t(luaL_checkinteger(L, 1)), milliseconds(luaL_checkinteger(L, 2)));
    if (Code)
      lua_pushinteger(L, *Code);
    else
      lua_pushnil(L);
    return 1;
  });
  registerFunction("http", [](lua_State *L) {
    return sendHttp(L, impl::fromUpvalue(L).Http);
  });
  registerFunction("draw", [](lua_State *L) {
    auto Low = luaL_checkinteger(L, 1);
    auto Count = luaL_checkinteger(L, 2) - Low + 1;
    luaL_argcheck(L, Count > 0, 2, "must not be less than the first argument");
    lua_pushinteger(L, Low + lua_Integer(drawIndex(impl::fromUpvalue(L).Gen,
                                                   std::size_t(Count))));
    return 1;
  });
  registerFunction("free_port", [](lua_State *L) {
    lua_pushinteger(L, findFreePort(impl::fromUpvalue(L).NextPort));
    return 1;
  });
  lua_register(Lua, "content_hash", hashContent);
  lua_register(Lua, "now_ms", nowMillis);
  lua_register(Lua, "wall_ms", wallMillis);
  lua_register(Lua, "sleep_ms", sleepMillis);
  lua_register(Lua, "json_decode", decodeJson);
  lua_register(Lua, "json_encode", encodeJson);
  lua_register(Lua, "write_file", writeFile);
  lua_register(Lua, "read_file", readFile);
  registerWorlds(Lua);
  pushJson(Lua, {{"seed", Options.Seed},
                 {"nodes", Options.Nodes},
                 {"binaries", Options.BinaryFolder},
                 {"source", Options.SourceFolder},
                 {"folder", Options.WorkFolder}});
  lua_setglobal(Lua, "run");
}

lua_runtime::lua_runtime(run_options Options)
    : Impl(std::make_unique<impl>(std::move(Options))) {}
lua_runtime::~lua_runtime() = default;

int lua_runtime::run() {
  lua_State *Lua = Impl->Lua;
  luaL_openlibs(Lua);
  Impl->registerFunctions();
  std::string Path = Impl->Options.SourceFolder + "/bench/lib/?.lua";
  lua_getglobal(Lua, "package");
  lua_pushstring(Lua, Path.c_str());
  lua_setfield(Lua, -2, "path");
  lua_pop(Lua, 1);
  int StackTop = lua_gettop(Lua);
  if (luaL_dofile(Lua, Impl->Options.Script.c_str()) == LUA_OK) {
    bool TargetsMissed = lua_gettop(Lua) > StackTop && lua_isboolean(Lua, -1) &&
                         !lua_toboolean(Lua, -1);
    return TargetsMissed ? ExitTargetsMissed : 0;
  }
  std::cerr << "scenario-runner: " << lua_tostring(Lua, -1) << '\n';
  return 1;
}

} // namespace gentianlug::bench
