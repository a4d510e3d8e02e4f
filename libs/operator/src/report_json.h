#ifndef GENTIANLUG_OPERATOR_REPORT_JSON_H
#define GENTIANLUG_OPERATOR_REPORT_JSON_H

#include "gentianlug/config/compile.h"
#include "gentianlug/config/difference.h"
#include "gentianlug/config/explain.h"
#include "gentianlug/operator/progress.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/zone_state.h"

#include <nlohmann/json.hpp>

namespace gentianlug::operator_cli {

// JSON forms of the values that `--json` prints. Times are Unix times in
// milliseconds.

std::int64_t unixMilliseconds(wall_time Time);

nlohmann::json toReportJson(const store::accepted_version &Version);
nlohmann::json toReportJson(const config::compile_fault &Fault);
nlohmann::json toReportJson(const config::config_change &Change);
nlohmann::json toReportJson(const config::value_origin &Origin);
nlohmann::json toReportJson(const zone_progress &Progress);
nlohmann::json toReportJson(const store::config_refusal &Refusal);
nlohmann::json toReportJson(const zone_name &Zone,
                            const store::out_of_service_zone &Out);
nlohmann::json toReportJson(const store::zone_change &Change);
nlohmann::json toReportJson(const rollout::rollout_state &State, wall_time Now);

/// Converts each item and returns the results as a JSON array.
template <class Items> nlohmann::json toReportJsonArray(const Items &List) {
  nlohmann::json Array = nlohmann::json::array();
  for (const auto &Item : List)
    Array.push_back(toReportJson(Item));
  return Array;
}

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_REPORT_JSON_H
