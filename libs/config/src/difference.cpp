#include "gentianlug/config/difference.h"

#include "detail/json_model.h"

#include <map>

namespace gentianlug::config {

using nlohmann::json;

/// Fields of an entry as JSON text, by path within the entry.
using field_map = std::map<std::string, std::string>;

static void flattenFields(const json &Value, const std::string &Path,
                          field_map &Fields) {
  if (!Value.is_object()) {
    Fields[Path] = Value.dump();
    return;
  }
  for (const auto &Item : Value.items())
    flattenFields(Item.value(),
                  Path.empty() ? Item.key() : Path + "." + Item.key(), Fields);
}

static std::vector<field_change> compareFields(const json &Before,
                                               const json &After) {
  field_map Old;
  field_map New;
  flattenFields(Before, "", Old);
  flattenFields(After, "", New);
  std::vector<field_change> Changes;
  for (const auto &[Field, Value] : New) {
    auto Previous = Old.find(Field);
    std::string Text = Previous == Old.end() ? "" : Previous->second;
    if (Text != Value)
      Changes.push_back({Field, Text, Value});
  }
  for (const auto &[Field, Value] : Old)
    if (!New.count(Field))
      Changes.push_back({Field, Value, ""});
  return Changes;
}

static void compareSection(const std::string &Section, const json &Before,
                           const json &After,
                           std::vector<config_change> &Changes) {
  const json None = json::object();
  for (const auto &Item : After.items()) {
    auto Old = Before.find(Item.key());
    bool Added = Old == Before.end();
    if (!Added && *Old == Item.value())
      continue;
    Changes.push_back({Added ? change_kind::Added : change_kind::Changed,
                       Section, Item.key(),
                       compareFields(Added ? None : *Old, Item.value())});
  }
  for (const auto &Item : Before.items())
    if (!After.contains(Item.key()))
      Changes.push_back({change_kind::Removed, Section, Item.key(),
                         compareFields(Item.value(), None)});
}

std::vector<config_change>
compareConfigurations(const site_configuration &Before,
                      const site_configuration &After) {
  json Old = detail::toJsonByName(Before);
  json New = detail::toJsonByName(After);
  std::vector<config_change> Changes;
  json OldSite = json::object();
  json NewSite = json::object();
  for (const auto &Item : New.items()) {
    if (Item.value().is_object()) {
      compareSection(Item.key(), Old[Item.key()], Item.value(), Changes);
      continue;
    }
    NewSite[Item.key()] = Item.value();
    OldSite[Item.key()] = Old[Item.key()];
  }
  if (OldSite != NewSite)
    Changes.push_back({change_kind::Changed, "site", After.Site.str(),
                       compareFields(OldSite, NewSite)});
  return Changes;
}

} // namespace gentianlug::config
