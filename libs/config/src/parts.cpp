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

namespace {

/// Collects the entries of shards and cuts shards that grow too large.
class part_cutter {
public:
  template <class Entry>
  void add(const char *List, const Entry &Item, const service_name &Service) {
    json Json = detail::toJson(Item);
    std::size_t Bytes = Json.dump().size() + 1;
    shard &Shard = Shards[shardName(Service)];
    if (Shard.Bytes + Bytes > MaxPartBytes - ListOverhead) {
      Shard.Full.push_back(std::move(Shard.Current));
      Shard.Current = json::object();
      Shard.Bytes = 0;
    }
    Shard.Bytes += Bytes;
    Shard.Current[List].push_back(std::move(Json));
  }

  part_map finish() {
    part_map Parts;
    for (auto &[Name, Shard] : Shards) {
      Shard.Full.push_back(std::move(Shard.Current));
      for (std::size_t Index = 0; Index < Shard.Full.size(); ++Index)
        Parts.emplace(Index == 0 ? Name : Name + "." + std::to_string(Index),
                      makePart(Shard.Full[Index]));
    }
    return Parts;
  }

private:
  /// Bytes for the names and brackets of the three lists.
  static constexpr std::size_t ListOverhead = 100;

  struct shard {
    std::vector<json> Full;
    json Current = json::object();
    std::size_t Bytes = 0;
  };
  std::map<std::string, shard> Shards;
};

} // namespace

part_map cutIntoParts(const site_configuration &Configuration) {
  part_cutter Cutter;
  for (const service &Service : Configuration.Services)
    Cutter.add("services", Service, Service.Name);
  for (const route &Route : Configuration.Routes)
    Cutter.add("routes", Route, Route.Service);
  for (const rollout &Rollout : Configuration.Rollouts)
    Cutter.add("rollouts", Rollout, Rollout.Service);
  part_map Parts = Cutter.finish();
  Parts.emplace(
      "site",
      makePart({{"site", Configuration.Site.str()},
                {"zone_round_trip_us", Configuration.ZoneRoundTrip.count()},
                {"availability_zones", listToJson(Configuration.Zones)},
                {"customers", listToJson(Configuration.Customers)}}));
  return Parts;
}

std::vector<config_fault> checkSizes(const site_configuration &Configuration) {
  std::size_t Bytes = listToJson(Configuration.Customers).dump().size() +
                      listToJson(Configuration.Zones).dump().size();
  if (Bytes + 200 <= MaxPartBytes)
    return {};
  return {{"customers", "customers and zones take " + std::to_string(Bytes) +
                            " bytes, more than the " +
                            std::to_string(MaxPartBytes) +
                            " that one platform object holds"}};
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
  for (const config_fault &Fault : checkWhole(Configuration))
    Faults.add(Fault.Path, Fault.Reason);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  return Configuration;
}

} // namespace gentianlug::config
