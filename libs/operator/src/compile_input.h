#ifndef GENTIANLUG_OPERATOR_COMPILE_INPUT_H
#define GENTIANLUG_OPERATOR_COMPILE_INPUT_H

#include "gentianlug/config/compile.h"
#include "gentianlug/operator/options.h"

namespace gentianlug::operator_cli {

/// Reads the files that the options name.
///
/// \returns `BadArguments` without base or overlay, `Refused` when a file
/// cannot be read.
result<config::compile_input> readInput(const options &Options, wall_time Now);

/// Returns `Refused` with every fault, one a line.
error compileFailure(const std::vector<config::compile_fault> &Faults);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_COMPILE_INPUT_H
