#ifndef GENTIANLUG_OPERATOR_REPORT_TEXT_H
#define GENTIANLUG_OPERATOR_REPORT_TEXT_H

#include "gentianlug/config/difference.h"
#include "gentianlug/config/explain.h"
#include "gentianlug/operator/progress.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/zone_state.h"

#include <string>

namespace gentianlug::operator_cli {

// Sentences in which the commands report to operators.

/// Formats a time in UTC, for example "2026-12-04 18:00:00 UTC".
std::string formatTime(wall_time Time);

/// Returns the name of a phase in reports and in `--json`.
std::string formatPhase(rollout::rollout_phase Phase);

std::string describe(const store::accepted_version &Version);
std::string describe(const config::config_change &Change);
std::string describe(const config::value_origin &Origin);
std::string describe(const zone_progress &Progress, config_version Version);
std::string describeUnreportedZone(const zone_name &Zone);
std::string describe(const store::config_refusal &Refusal);
std::string describe(const zone_name &Zone,
                     const store::out_of_service_zone &Out);
std::string describe(const store::zone_change &Change);
std::string describe(const rollout::rollout_state &State, wall_time Now);

/// Returns the message for an error of a command.
std::string describe(const error &Failure);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_REPORT_TEXT_H
