#ifndef GENTIANLUG_OPERATOR_COMPILE_INPUT_H
#define GENTIANLUG_OPERATOR_COMPILE_INPUT_H

#include "gentianlug/config/compile.h"
#include "gentianlug/operator/options.h"

namespace gentianlug::operator_cli {

/// Reads the base and overlay files that the options name.
///
/// \returns `BadArguments` when the base or every overlay is missing, `Refused`
/// when a file cannot be read.
result<config::compile_input> readInput(const options &Options, wall_time Now);

/// Returns `Refused` with a text that lists all faults, one on each line.
error makeCompileError(const std::vector<config::compile_fault> &Faults);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMPILE_INPUT_H
