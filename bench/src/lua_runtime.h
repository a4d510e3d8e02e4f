#ifndef GENTIANLUG_BENCH_LUA_RUNTIME_H
#define GENTIANLUG_BENCH_LUA_RUNTIME_H

#include "gentianlug/core/random.h"
#include "lua_http.h"
#include "processes.h"

#include <lua.hpp>
#include <memory>
#include <string>

namespace gentianlug::bench {

/// Parameters of a run. All but `Script` are visible to Lua as `run`.
struct run_options {
  std::string Script;
  std::string BinaryFolder;
  std::string SourceFolder;
  std::string WorkFolder;
  std::uint64_t Seed = 1;
  std::uint32_t Nodes = 0;
};

/// A Lua state with the functions for scenarios and experiments:
///
/// - `run`: table with seed, nodes, binaries, source, folder
/// - `spawn(arguments, log)`: process id; `signal(pid, number)`: whether it was
///   delivered; `wait_exit(pid, limit_ms)`: exit code, or nil on timeout
/// - `http(method, "HOST:PORT", target, body, headers, timeout_ms)`: status,
///   body, headers; on failure, status 0 and the error message
/// - `json_decode(text)`, `json_encode(value)`, `content_hash(text)`
/// - `now_ms()` (monotonic), `wall_ms()` (Unix time), `sleep_ms(ms)`
/// - `free_port()`; `draw(low, high)`: seeded random integer in a closed range
/// - `write_file(path, text)`, `read_file(path)`
/// - the constructors of the simulations in `worlds/`
class lua_runtime {
public:
  explicit lua_runtime(run_options Options);
  ~lua_runtime();

  /// Runs the script.
  ///
  /// \returns the exit code: 0 on success, 1 after an error (written to
  /// standard error), 3 if the script returned false.
  int run();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_LUA_RUNTIME_H
