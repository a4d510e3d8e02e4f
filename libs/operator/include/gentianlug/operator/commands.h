#ifndef GENTIANLUG_OPERATOR_COMMANDS_H
#define GENTIANLUG_OPERATOR_COMMANDS_H

namespace gentianlug::operator_cli {

/// Exit codes of the command line.
enum exit_code : int {
  Success = 0,
  /// The command was understood and refused.
  Refused = 1,
  BadUsage = 2,
  PlatformDown = 3,
};

/// Runs the command line and returns its exit code.
int runCommandLine(int Argc, char **Argv);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMMANDS_H
