#include "gentianlug/operator/mesh_reader.h"

#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

namespace gentianlug::operator_cli {

using store::store_errc;

/// Keeps `PlatformDown` and turns other errors of the store into `Refused`.
static error toOperatorError(const error &Cause) {
  if (Cause.Code == make_error_code(operator_errc::PlatformDown))
    return Cause;
  return makeError(operator_errc::Refused, Cause.message());
}

template <class T>
static result<T> readValue(sync_store &Store, const std::string &Key,
                           result<T> (*Decode)(std::string_view)) {
  auto Object = Store.get(Key);
  if (!Object)
    return toOperatorError(Object.failure());
  auto Value = Decode(Object->Value);
  if (!Value)
    return makeError(
        operator_errc::Refused,
        Key + " on the platform is malformed: " + Value.failure().message());
  return Value;
}

result<store::observed_head> readHead(sync_store &Store) {
  auto Object = Store.get(store::ConfigHeadKey);
  if (!Object && hasCode(Object.failure(), store_errc::NotFound))
    return store::observed_head{};
  if (!Object)
    return toOperatorError(Object.failure());
  auto Head = wire::decodeConfigHead(Object->Value);
  if (!Head)
    return makeError(operator_errc::Refused,
                     "live/config on the platform is malformed: " +
                         Head.failure().message());
  return store::observed_head{std::move(*Head), Object->Revision};
}

result<store::config_manifest> readManifest(sync_store &Store,
                                            const std::string &Hash) {
  return readValue(Store, store::contentKey(Hash), wire::decodeConfigManifest);
}

result<config::site_configuration> readSite(sync_store &Store,
                                            const store::site_manifest &Site,
                                            const config::part_map &Known) {
  std::map<std::string, const config::part *> ByHash;
  for (const auto &[Name, Part] : Known)
    ByHash.emplace(Part.Hash, &Part);
  config::part_map Parts;
  for (const auto &[Name, Hash] : Site.Parts) {
    auto Found = ByHash.find(Hash);
    if (Found != ByHash.end()) {
      Parts.emplace(Name, *Found->second);
      continue;
    }
    auto Object = Store.get(store::contentKey(Hash));
    if (!Object)
      return toOperatorError(Object.failure());
    Parts.emplace(Name, config::part{Hash, std::move(Object->Value)});
  }
  auto Assembled = config::assemble(Parts, Site.RootHash);
  if (!Assembled)
    return makeError(operator_errc::Refused, Assembled.failure().message());
  return Assembled;
}

result<std::vector<config::site_configuration>>
readSites(sync_store &Store, const std::string &ManifestHash,
          const config::part_map &Known) {
  auto Manifest = readManifest(Store, ManifestHash);
  if (!Manifest)
    return Manifest.failure();
  std::vector<config::site_configuration> Sites;
  for (const auto &[Name, Site] : Manifest->Sites) {
    auto Configuration = readSite(Store, Site, Known);
    if (!Configuration)
      return Configuration.failure();
    Sites.push_back(std::move(*Configuration));
  }
  return Sites;
}

/// Name of the part that holds the zones of a site.
static constexpr const char *SitePartName = "site";

/// Adds the zones of one site to \p Zones. Reads only the part that holds them.
static result<void> addZones(sync_store &Store,
                             const store::site_manifest &Site,
                             std::set<zone_name> &Zones) {
  auto Hash = Site.Parts.find(SitePartName);
  if (Hash == Site.Parts.end())
    return {};
  config::part_hashes ZonePart{*Hash};
  auto Configuration =
      readSite(Store, {config::rootHash(ZonePart), ZonePart}, {});
  if (!Configuration)
    return Configuration.failure();
  for (const config::availability_zone &Zone : Configuration->Zones)
    Zones.insert(Zone.Name);
  return {};
}

result<std::set<zone_name>> readZoneNames(sync_store &Store,
                                          const store::config_head &Head) {
  std::set<zone_name> Zones;
  if (Head.Version == 0)
    return Zones;
  auto Manifest = readManifest(Store, Head.ManifestHash);
  if (!Manifest)
    return Manifest.failure();
  for (const auto &[Name, Site] : Manifest->Sites)
    if (auto Added = addZones(Store, Site, Zones); !Added)
      return Added.failure();
  return Zones;
}

/// Decodes the values of \p List and adds the keys of malformed ones to
/// \p Unreadable.
template <class T>
static std::vector<T> decodeAll(const store::object_list &List,
                                result<T> (*Decode)(std::string_view),
                                std::vector<std::string> &Unreadable) {
  std::vector<T> Values;
  for (const store::object &Object : List.Objects) {
    auto Value = Decode(Object.Value);
    if (Value)
      Values.push_back(std::move(*Value));
    else
      Unreadable.push_back(Object.Key);
  }
  return Values;
}

result<status_view> readStatus(sync_store &Store) {
  auto List = Store.list(store::StatusPrefix);
  if (!List)
    return toOperatorError(List.failure());
  status_view View;
  View.Revision = List->Revision;
  View.Zones = decodeAll(*List, wire::decodeZoneStatus, View.MalformedKeys);
  return View;
}

result<rollouts_view> readRollouts(sync_store &Store) {
  auto List = Store.list(store::RolloutPrefix);
  if (!List)
    return toOperatorError(List.failure());
  rollouts_view View;
  View.Rollouts =
      decodeAll(*List, wire::decodeRolloutState, View.MalformedKeys);
  return View;
}

result<store::zone_state> readZoneState(sync_store &Store) {
  auto Object = Store.get(store::ZonesKey);
  if (!Object && hasCode(Object.failure(), store_errc::NotFound))
    return store::zone_state{};
  if (!Object)
    return toOperatorError(Object.failure());
  auto State = wire::decodeZoneState(Object->Value);
  if (!State)
    return makeError(operator_errc::Refused,
                     "live/zones on the platform is malformed: " +
                         State.failure().message());
  return State;
}

} // namespace gentianlug::operator_cli
