#ifndef GENTIANLUG_OPERATOR_COMMAND_GROUPS_H
#define GENTIANLUG_OPERATOR_COMMAND_GROUPS_H

#include "gentianlug/operator/commands.h"

namespace gentianlug::operator_cli {

// Entry points of the commands, by source file. Errors: `operator_errc`.

// compile_commands.cpp
result<command_report> runCheck(command_context &Context);
result<command_report> runExplain(command_context &Context);

// explain_request_command.cpp
result<command_report> runExplainRequest(command_context &Context);

// apply_commands.cpp
result<command_report> runApply(command_context &Context);
result<command_report> runDiff(command_context &Context);

// status_commands.cpp
result<command_report> runStatus(command_context &Context);
result<command_report> runHistory(command_context &Context);
result<command_report> runEvents(command_context &Context);

// rollout_commands.cpp and zone_commands.cpp
result<command_report> runRollout(command_context &Context);
result<command_report> runZone(command_context &Context);

// wait_command.cpp and gc_command.cpp
result<command_report> runWait(command_context &Context);
result<command_report> runGc(command_context &Context);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMMAND_GROUPS_H
