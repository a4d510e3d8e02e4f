#ifndef GENTIANLUG_BENCH_PROCESSES_H
#define GENTIANLUG_BENCH_PROCESSES_H

#include "gentianlug/core/result.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianlug::bench {

/// Maximum number of concurrent child processes of a run.
inline constexpr std::size_t MaxChildProcesses = 400;

/// The child processes of a run. The destructor kills those still running.
class processes {
public:
  ~processes();

  /// Starts a program; its standard output and error are appended to
  /// \p LogPath.
  result<pid_t> spawn(const std::vector<std::string> &Arguments,
                      const std::string &LogPath);

  /// Sends \p Signal to a running child.
  ///
  /// \returns whether \p Pid is such a child and the signal was sent.
  bool signal(pid_t Pid, int Signal);

  /// Waits for a child to exit, polling every few milliseconds.
  ///
  /// \returns its exit code, 128 plus the signal number if a signal terminated
  /// it, or nothing if it still runs after \p Limit or is no running child.
  std::optional<int> wait(pid_t Pid, std::chrono::milliseconds Limit);

private:
  std::set<pid_t> Running;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_PROCESSES_H
