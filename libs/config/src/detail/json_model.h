#ifndef GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
#define GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H

#include "gentianlug/config/model.h"
#include "gentianlug/settings/object_reader.h"

#include <nlohmann/json.hpp>

namespace gentianlug::config::detail {

/// Reads every section of \p Json; faults go to the list of the reader.
site_configuration readConfiguration(settings::object_reader &Reader);

/// Restores the order that the lookups rely on.
void sortConfiguration(site_configuration &Configuration);

nlohmann::json toJson(const availability_zone &Zone);
nlohmann::json toJson(const customer &Customer);
nlohmann::json toJson(const service &Service);
nlohmann::json toJson(const route &Route);
nlohmann::json toJson(const rollout &Rollout);

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
