#include "processes.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace gentianlug::bench {

static error systemError(const std::string &What) {
  return {std::error_code(errno, std::system_category()), What};
}

processes::~processes() {
  for (pid_t Pid : Running)
    kill(Pid, SIGKILL);
  for (pid_t Pid : Running)
    waitpid(Pid, nullptr, 0);
}

/// Executes the program in the child process after fork.
[[noreturn]] static void execChild(std::vector<char *> &Arguments,
                                   const std::string &LogPath) {
  // Kills the child when the runner dies, even if the runner gets SIGKILL.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (Log >= 0) {
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
  }
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

result<pid_t> processes::spawn(const std::vector<std::string> &Arguments,
                               const std::string &LogPath) {
  if (Running.size() >= MaxChildProcesses)
    return error{
        std::make_error_code(std::errc::resource_unavailable_try_again),
        "limit of child processes reached"};
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Pointers.push_back(const_cast<char *>(Argument.c_str()));
  Pointers.push_back(nullptr);
  pid_t Pid = fork();
  if (Pid < 0)
    return systemError("fork");
  if (Pid == 0)
    execChild(Pointers, LogPath);
  Running.insert(Pid);
  return Pid;
}

bool processes::signal(pid_t Pid, int Signal) {
  return Running.count(Pid) && kill(Pid, Signal) == 0;
}

std::optional<int> processes::wait(pid_t Pid, std::chrono::milliseconds Limit) {
  constexpr std::chrono::milliseconds Step{2};
  auto End = std::chrono::steady_clock::now() + Limit;
  while (Running.count(Pid)) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid) {
      Running.erase(Pid);
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
    }
    if (std::chrono::steady_clock::now() >= End)
      return std::nullopt;
    std::this_thread::sleep_for(Step);
  }
  return std::nullopt;
}

} // namespace gentianlug::bench
