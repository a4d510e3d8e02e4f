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

/// Processes that one run may have at a time.
inline constexpr std::size_t MaxProcesses = 400;

/// The child processes of one run. All are killed, by id, at its end.
class processes {
public:
  ~processes();

  /// Starts a program with standard output and error in \p LogPath.
  result<pid_t> spawn(const std::vector<std::string> &Words,
                      const std::string &LogPath);

  /// Sends \p Signal to a process of this run that has not ended.
  ///
  /// \returns whether there was such a process.
  bool signal(pid_t Pid, int Signal);

  /// Waits for the end of a process, in steps of a few milliseconds.
  ///
  /// \returns its exit code (128 plus the signal when it was killed), or
  /// nothing when it still runs after \p Limit.
  std::optional<int> wait(pid_t Pid, std::chrono::milliseconds Limit);

private:
  std::set<pid_t> Running;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_PROCESSES_H
