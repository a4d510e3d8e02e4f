#ifndef GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
#define GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H

#include "gentianlug/config/model.h"
#include "gentianlug/settings/object_reader.h"

#include <nlohmann/json.hpp>

namespace gentianlug::config::detail {

/// Reads a configuration; faults are added to the fault list of \p Reader.
site_configuration readConfiguration(settings::object_reader &Reader);

/// Returns the key that identifies the entries of the list \p Section, or null
/// if the section is not a list of named entries. Rollouts are identified by
/// their service.
const char *entryNameKey(const std::string &Section);

/// Sorts services, routes and rollouts into the order that lookups require.
void sortConfiguration(site_configuration &Configuration);

nlohmann::json toJson(const availability_zone &Zone);
nlohmann::json toJson(const customer &Customer);
nlohmann::json toJson(const service &Service);
nlohmann::json toJson(const route &Route);
nlohmann::json toJson(const rollout &Rollout);

/// Returns the effective values, with each list converted to an object keyed by
/// entry name.
nlohmann::json toJsonByName(const site_configuration &Configuration);

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_JSON_MODEL_H
