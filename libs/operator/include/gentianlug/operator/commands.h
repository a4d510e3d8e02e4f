#ifndef GENTIANLUG_OPERATOR_COMMANDS_H
#define GENTIANLUG_OPERATOR_COMMANDS_H

#include "gentianlug/operator/operation_driver.h"
#include "gentianlug/operator/options.h"
#include "gentianlug/operator/sync_store.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gentianlug::operator_cli {

/// Exit codes of the command line.
enum exit_code : int {
  Success = 0,
  /// The command is valid, but its request was rejected.
  Refused = 1,
  BadUsage = 2,
  PlatformDown = 3,
  TimedOut = 4,
};

/// Output of a command: lines of text, and the same information as JSON.
struct command_report {
  exit_code Code = Success;
  std::vector<std::string> Lines;
  nlohmann::json ReportJson = nlohmann::json::object();

  void add(std::string Line) { Lines.push_back(std::move(Line)); }
};

/// Options and services that a command runs with.
struct command_context {
  const options &Options;
  sync_store &Store;
  operation_driver &Driver;
  generator &Gen;
  /// Displays the progress of a command that waits; may be empty.
  std::function<void(const std::string &)> ShowProgress;
};

/// Runs the command that the options name.
///
/// \returns its output, or an error of `operator_errc`; see `exitCodeOf`.
result<command_report> runCommand(command_context &Context);

/// Returns the exit code for a failed command.
exit_code exitCodeOf(const error &Failure);

/// Runs the `gentianlug` command line and returns its exit code.
int runCommandLine(int Argc, char **Argv);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMMANDS_H
