#ifndef GENTIANLUG_BENCH_LUA_RUNTIME_H
#define GENTIANLUG_BENCH_LUA_RUNTIME_H

#include "gentianlug/core/random.h"
#include "lua_http.h"
#include "processes.h"

#include <lua.hpp>
#include <memory>
#include <string>

namespace gentianlug::bench {

/// What a script may know of its run.
struct run_options {
  std::string Script;
  std::string BinaryFolder;
  std::string SourceFolder;
  std::string WorkFolder;
  std::uint64_t Seed = 1;
  std::uint32_t Nodes = 0;
};

/// A Lua state with the words of scenarios and experiments:
///
/// - `run`: table with seed, nodes, binaries, source, folder
/// - `spawn(words, log)`: process id; `signal(pid, number)`;
///   `wait_exit(pid, limit_ms)`: exit code or nil
/// - `http(method, "HOST:PORT", target, body, headers, timeout_ms)`: status,
///   body, headers; status 0 with the error in place of the body
/// - `json_decode(text)`, `json_encode(value)`
/// - `now_ms()`, `sleep_ms(ms)`, `free_port()`, `drawPeers(low, high)`
/// - `write_file(path, text)`, `read_file(path)`
/// - the worlds of `worlds/`: decision libraries under a set clock
class lua_runtime {
public:
  explicit lua_runtime(run_options Options);
  ~lua_runtime();

  /// Runs the script.
  ///
  /// \returns 0; 1 after an error, which goes to standard error; 3 when the
  /// script returned false.
  int run();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_LUA_RUNTIME_H
