#include "gentianlug/config/parts.h"

#include "detail/json_model.h"
#include "gentianlug/config/check.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/settings/json_file.h"

#include <cstdio>

namespace gentianlug::config {

using nlohmann::json;

static std::string shardName(const service_name &Service) {
  char Name[32];
  std::snprintf(Name, sizeof Name, "services/%02u",
                unsigned(hash64(Service.str()) % ServiceShards));
  return Name;
}

static part makePart(const json &Json) {
  std::string Text = Json.dump();
  return {contentHash(Text), std::move(Text)};
}

template <class Entries> static json listToJson(const Entries &List) {
  json Array = json::array();
  for (const auto &Entry : List)
    Array.push_back(detail::toJson(Entry));
  return Array;
}

part_map cutIntoParts(const site_configuration &Configuration) {
  std::map<std::string, json> Shards;
  for (const service &Service : Configuration.Services)
    Shards[shardName(Service.Name)]["services"].push_back(
        detail::toJson(Service));
  for (const route &Route : Configuration.Routes)
    Shards[shardName(Route.Service)]["routes"].push_back(detail::toJson(Route));
  for (const rollout &Rollout : Configuration.Rollouts)
    Shards[shardName(Rollout.Service)]["rollouts"].push_back(
        detail::toJson(Rollout));
  Shards["site"] = {{"site", Configuration.Site.str()},
                    {"zone_round_trip_us", Configuration.ZoneRoundTrip.count()},
                    {"availability_zones", listToJson(Configuration.Zones)},
                    {"customers", listToJson(Configuration.Customers)}};

  part_map Parts;
  for (const auto &[Name, Json] : Shards)
    Parts.emplace(Name, makePart(Json));
  return Parts;
}

part_hashes hashesOf(const part_map &Parts) {
  part_hashes Hashes;
  for (const auto &[Name, Part] : Parts)
    Hashes.emplace(Name, Part.Hash);
  return Hashes;
}

std::string rootHash(const part_hashes &Hashes) {
  std::string Text;
  for (const auto &[Name, Hash] : Hashes)
    Text.append(Name).append("=").append(Hash).append("\n");
  return contentHash(Text);
}

/// Joins the lists of all parts into one document.
static result<json> joinParts(const part_map &Parts) {
  json Whole = json::object();
  for (const auto &[Name, Part] : Parts) {
    if (contentHash(Part.Text) != Part.Hash)
      return makeError(config_errc::HashMismatch, Name);
    auto Json = settings::parseJson(Part.Text, Name);
    if (!Json || !Json->is_object())
      return makeError(config_errc::MalformedPart, Name);
    for (const auto &Item : Json->items()) {
      json &Target = Whole[Item.key()];
      if (Target.is_array() && Item.value().is_array())
        Target.insert(Target.end(), Item.value().begin(), Item.value().end());
      else
        Target = Item.value();
    }
  }
  return Whole;
}

result<site_configuration> assemble(const part_map &Parts,
                                    const std::string &RootHash) {
  if (rootHash(hashesOf(Parts)) != RootHash)
    return makeError(config_errc::HashMismatch, "root hash");
  auto Whole = joinParts(Parts);
  if (!Whole)
    return Whole.failure();
  settings::fault_list Faults("accepted configuration");
  settings::object_reader Reader(*Whole, "", Faults);
  site_configuration Configuration = detail::readConfiguration(Reader);
  for (const std::string &Fault : checkWhole(Configuration))
    Faults.add("whole configuration", Fault);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  return Configuration;
}

} // namespace gentianlug::config
