#ifndef GENTIANLUG_OPERATOR_FACTS_H
#define GENTIANLUG_OPERATOR_FACTS_H

#include "gentianlug/config/compile.h"
#include "gentianlug/config/difference.h"
#include "gentianlug/config/explain.h"
#include "gentianlug/operator/progress.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/zone_state.h"

#include <nlohmann/json.hpp>

namespace gentianlug::operator_cli {

// The facts of reports for `--json`. Times are milliseconds since 1970.

std::int64_t millisOf(wall_time Time);

nlohmann::json factsOf(const store::accepted_version &Version);
nlohmann::json factsOf(const config::compile_fault &Fault);
nlohmann::json factsOf(const config::config_change &Change);
nlohmann::json factsOf(const config::value_origin &Origin);
nlohmann::json factsOf(const zone_progress &Progress);
nlohmann::json factsOf(const store::config_refusal &Refusal);
nlohmann::json factsOf(const zone_name &Zone, const store::zone_out &Out);
nlohmann::json factsOf(const store::zone_move &Move);
nlohmann::json factsOf(const rollout::rollout_state &State, wall_time Now);

/// Returns the facts of all items as an array.
template <class Items> nlohmann::json factsOfAll(const Items &List) {
  nlohmann::json Array = nlohmann::json::array();
  for (const auto &Item : List)
    Array.push_back(factsOf(Item));
  return Array;
}

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_FACTS_H
