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
                unsigned(hash64(Service.str()) % ServiceShardCount));
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

namespace {

/// Distributes entries over shards and splits a shard into several parts before
/// it exceeds `MaxPartBytes`.
class part_builder {
public:
  template <class Entry>
  void add(const char *List, const Entry &Item, const service_name &Service) {
    json Json = detail::toJson(Item);
    std::size_t Bytes = Json.dump().size() + 1;
    shard &Shard = Shards[shardName(Service)];
    if (Shard.CurrentBytes + Bytes > MaxPartBytes - ListOverheadBytes) {
      Shard.CompletedParts.push_back(std::move(Shard.CurrentPart));
      Shard.CurrentPart = json::object();
      Shard.CurrentBytes = 0;
    }
    Shard.CurrentBytes += Bytes;
    Shard.CurrentPart[List].push_back(std::move(Json));
  }

  part_map finish() {
    part_map Parts;
    for (auto &[Name, Shard] : Shards) {
      Shard.CompletedParts.push_back(std::move(Shard.CurrentPart));
      for (std::size_t Index = 0; Index < Shard.CompletedParts.size(); ++Index)
        Parts.emplace(Index == 0 ? Name : Name + "." + std::to_string(Index),
                      makePart(Shard.CompletedParts[Index]));
    }
    return Parts;
  }

private:
  /// Bytes reserved for the names and brackets of the three lists of a part.
  static constexpr std::size_t ListOverheadBytes = 100;

  struct shard {
    std::vector<json> CompletedParts;
    json CurrentPart = json::object();
    std::size_t CurrentBytes = 0;
  };
  std::map<std::string, shard> Shards;
};

} // namespace

part_map splitIntoParts(const site_configuration &Configuration) {
  part_builder Builder;
  for (const service &Service : Configuration.Services)
    Builder.add("services", Service, Service.Name);
  for (const route &Route : Configuration.Routes)
    Builder.add("routes", Route, Route.Service);
  for (const rollout &Rollout : Configuration.Rollouts)
    Builder.add("rollouts", Rollout, Rollout.Service);
  part_map Parts = Builder.finish();
  Parts.emplace(
      "site",
      makePart({{"site", Configuration.Site.str()},
                {"zone_round_trip_us", Configuration.ZoneRoundTrip.count()},
                {"availability_zones", listToJson(Configuration.Zones)},
                {"customers", listToJson(Configuration.Customers)}}));
  return Parts;
}

std::vector<config_fault>
checkPartSizes(const site_configuration &Configuration) {
  // The site part also contains the site name, the round-trip time, and the
  // keys; 200 bytes are reserved for them.
  std::size_t Bytes = listToJson(Configuration.Customers).dump().size() +
                      listToJson(Configuration.Zones).dump().size();
  if (Bytes + 200 <= MaxPartBytes)
    return {};
  return {{"customers", "customers and zones take " + std::to_string(Bytes) +
                            " bytes, more than the " +
                            std::to_string(MaxPartBytes) +
                            " that a platform object can hold"}};
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

/// Merges the lists of all parts into one document.
static result<json> mergeParts(const part_map &Parts) {
  json Document = json::object();
  for (const auto &[Name, Part] : Parts) {
    if (contentHash(Part.Text) != Part.Hash)
      return makeError(config_errc::HashMismatch, Name);
    auto Json = settings::parseJson(Part.Text, Name);
    if (!Json || !Json->is_object())
      return makeError(config_errc::MalformedPart, Name);
    for (const auto &Item : Json->items()) {
      json &Target = Document[Item.key()];
      if (Target.is_array() && Item.value().is_array())
        Target.insert(Target.end(), Item.value().begin(), Item.value().end());
      else
        Target = Item.value();
    }
  }
  return Document;
}

result<site_configuration> assemble(const part_map &Parts,
                                    const std::string &RootHash) {
  if (rootHash(hashesOf(Parts)) != RootHash)
    return makeError(config_errc::HashMismatch, "root hash");
  auto Document = mergeParts(Parts);
  if (!Document)
    return Document.failure();
  settings::fault_list Faults("accepted configuration");
  settings::object_reader Reader(*Document, "", Faults);
  site_configuration Configuration = detail::readConfiguration(Reader);
  for (const config_fault &Fault : checkConfiguration(Configuration))
    Faults.add(Fault.Path, Fault.Reason);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  return Configuration;
}

} // namespace gentianlug::config
