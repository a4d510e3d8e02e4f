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
  /// The command was understood and refused.
  Refused = 1,
  BadUsage = 2,
  PlatformDown = 3,
  TimedOut = 4,
};

/// What a command tells: plain sentences and the same facts as JSON.
struct command_report {
  exit_code Code = Success;
  std::vector<std::string> Lines;
  nlohmann::json ReportJson = nlohmann::json::object();

  void add(std::string Line) { Lines.push_back(std::move(Line)); }
};

/// What a command works with.
struct command_context {
  const options &Options;
  sync_store &Store;
  operation_driver &Driver;
  generator &Gen;
  /// Shows how far a waiting command is; may be empty.
  std::function<void(const std::string &)> ShowProgress;
};

/// Runs one command.
///
/// \returns the report, or an error of `operator_errc`; see `exitCodeOf`.
result<command_report> runCommand(command_context &Context);

/// Returns the exit code for an error of a command.
exit_code exitCodeOf(const error &Failure);

/// Runs the command line and returns its exit code.
int runCommandLine(int Argc, char **Argv);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMMANDS_H
