#ifndef GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
#define GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H

#include "gentianlug/config/model.h"
#include "gentianlug/settings/object_reader.h"

#include <nlohmann/json.hpp>

namespace gentianlug::config::detail {

/// Reads every section of \p Json; faults go to the list of the reader.
site_configuration readConfiguration(settings::object_reader &Reader);

/// Returns the key that names the entries of the list \p Section, or null when
/// the section is no list of named entries. Rollouts have one entry a service.
const char *entryKey(const std::string &Section);

/// Restores the order that the lookups rely on.
void sortConfiguration(site_configuration &Configuration);

nlohmann::json toJson(const availability_zone &Zone);
nlohmann::json toJson(const customer &Customer);
nlohmann::json toJson(const service &Service);
nlohmann::json toJson(const route &Route);
nlohmann::json toJson(const rollout &Rollout);

/// Returns the effective values with every list as an object by entry name.
nlohmann::json toJsonByName(const site_configuration &Configuration);

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
