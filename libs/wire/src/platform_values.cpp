#include "gentianlug/wire/platform_values.h"

#include "detail/decoder.h"

namespace gentianlug::wire {

using nlohmann::json;
using settings::object_reader;

static store::accepted_version readAcceptedVersion(object_reader &Reader) {
  store::accepted_version Version;
  Version.Version = detail::readUnsigned(Reader, "version");
  Version.ManifestHash = Reader.readString("manifest");
  Version.Author = Reader.readString("author");
  Version.Reason = Reader.readString("reason", "none given");
  Version.AcceptedAt = detail::readWallTime(Reader, "accepted_at_ms");
  Version.WriteId = Reader.readString("write_id");
  return Version;
}

static store::config_head readConfigHead(object_reader &Reader) {
  store::accepted_version Newest = readAcceptedVersion(Reader);
  store::config_head Head;
  Head.Version = Newest.Version;
  Head.ManifestHash = std::move(Newest.ManifestHash);
  Head.Author = std::move(Newest.Author);
  Head.Reason = std::move(Newest.Reason);
  Head.AcceptedAt = Newest.AcceptedAt;
  Head.WriteId = std::move(Newest.WriteId);
  Head.EarlierVersions =
      detail::readList(Reader, "earlier", readAcceptedVersion);
  return Head;
}

result<store::config_head> decodeConfigHead(std::string_view Text) {
  return detail::decodeObject(Text, "live/config", readConfigHead);
}

static json toJson(const store::accepted_version &Version) {
  return {{"version", Version.Version},
          {"manifest", Version.ManifestHash},
          {"author", Version.Author},
          {"reason", Version.Reason},
          {"accepted_at_ms", detail::wallTimeMillis(Version.AcceptedAt)},
          {"write_id", Version.WriteId}};
}

std::string encode(const store::config_head &Head) {
  json Json = toJson(store::accepted_version{Head.Version, Head.ManifestHash,
                                             Head.Author, Head.Reason,
                                             Head.AcceptedAt, Head.WriteId});
  for (const store::accepted_version &Version : Head.EarlierVersions)
    Json["earlier"].push_back(toJson(Version));
  return Json.dump();
}

static store::site_manifest readSiteManifest(object_reader &Reader) {
  store::site_manifest Site;
  Site.RootHash = Reader.readString("root");
  const json *Parts = Reader.findObject("parts");
  if (!Parts)
    return Site;
  object_reader Hashes(*Parts, Reader.pathOf("parts"), Reader.faults());
  for (const auto &Item : Parts->items())
    Site.Parts.emplace(Item.key(), Hashes.readString(Item.key()));
  return Site;
}

static store::config_manifest readManifest(object_reader &Reader) {
  store::config_manifest Manifest;
  const json *Sites = Reader.findObject("sites");
  if (!Sites)
    return Manifest;
  for (const auto &Item : Sites->items()) {
    object_reader Site(Item.value(), "sites." + Item.key(), Reader.faults());
    Manifest.Sites.emplace(site_name(Item.key()), readSiteManifest(Site));
  }
  return Manifest;
}

result<store::config_manifest> decodeConfigManifest(std::string_view Text) {
  return detail::decodeObject(Text, "manifest", readManifest);
}

std::string encode(const store::config_manifest &Manifest) {
  json Sites = json::object();
  for (const auto &[Name, Site] : Manifest.Sites)
    Sites[Name.str()] = {{"root", Site.RootHash}, {"parts", Site.Parts}};
  return json{{"sites", Sites}}.dump();
}

static store::out_of_service_zone readOutOfServiceZone(object_reader &Reader) {
  store::out_of_service_zone Out;
  Out.Author = Reader.readString("author");
  Out.Reason = Reader.readString("reason", "none given");
  Out.Since = detail::readWallTime(Reader, "since_ms");
  return Out;
}

static store::zone_change readZoneChange(object_reader &Reader) {
  store::zone_change Change;
  Change.Zone = zone_name(Reader.readString("zone"));
  Change.OutOfService = Reader.readBool("out", false);
  Change.Author = Reader.readString("author");
  Change.Reason = Reader.readString("reason", "none given");
  Change.At = detail::readWallTime(Reader, "at_ms");
  return Change;
}

static store::zone_state readZoneState(object_reader &Reader) {
  store::zone_state State;
  State.WriteId = Reader.readString("write_id");
  State.RecentChanges = detail::readList(Reader, "moves", readZoneChange);
  const json *Out = Reader.findObject("out");
  if (!Out)
    return State;
  for (const auto &Item : Out->items()) {
    object_reader Zone(Item.value(), "out." + Item.key(), Reader.faults());
    State.OutOfService.emplace(zone_name(Item.key()),
                               readOutOfServiceZone(Zone));
  }
  return State;
}

result<store::zone_state> decodeZoneState(std::string_view Text) {
  return detail::decodeObject(Text, "live/zones", readZoneState);
}

std::string encode(const store::zone_state &State) {
  json Out = json::object();
  for (const auto &[Zone, Entry] : State.OutOfService)
    Out[Zone.str()] = {{"author", Entry.Author},
                       {"reason", Entry.Reason},
                       {"since_ms", detail::wallTimeMillis(Entry.Since)}};
  json Changes = json::array();
  for (const store::zone_change &Change : State.RecentChanges)
    Changes.push_back({{"zone", Change.Zone.str()},
                       {"out", Change.OutOfService},
                       {"author", Change.Author},
                       {"reason", Change.Reason},
                       {"at_ms", detail::wallTimeMillis(Change.At)}});
  return json{{"write_id", State.WriteId}, {"out", Out}, {"moves", Changes}}
      .dump();
}

static store::garbage_marks readGarbageMarks(object_reader &Reader) {
  store::garbage_marks Marks;
  const json *Object = Reader.findObject("marks");
  if (!Object)
    return Marks;
  for (const auto &Item : Object->items()) {
    object_reader Mark(Item.value(), "marks." + Item.key(), Reader.faults());
    auto Revision = detail::readUnsigned(Mark, "revision");
    Marks.emplace(
        Item.key(),
        store::garbage_mark{Revision, detail::readWallTime(Mark, "since_ms")});
  }
  return Marks;
}

result<store::garbage_marks> decodeGarbageMarks(std::string_view Text) {
  return detail::decodeObject(Text, "gc/marks", readGarbageMarks);
}

std::string encode(const store::garbage_marks &Marks) {
  json Object = json::object();
  for (const auto &[Key, Mark] : Marks)
    Object[Key] = {{"revision", Mark.Revision},
                   {"since_ms", detail::wallTimeMillis(Mark.Since)}};
  return json{{"marks", Object}}.dump();
}

/// Number of nodes in a zone that run a configuration version.
struct zone_version_count {
  config_version Version = 0;
  std::uint32_t Nodes = 0;
};

static zone_version_count readZoneVersionCount(object_reader &Reader) {
  zone_version_count Count;
  Count.Version = detail::readUnsigned(Reader, "version");
  Count.Nodes = std::uint32_t(Reader.readInteger("nodes", 0, 1000000));
  return Count;
}

static store::config_refusal readRefusal(object_reader &Reader) {
  store::config_refusal Refusal;
  Refusal.Node = node_id(Reader.readString("node"));
  Refusal.Version = detail::readUnsigned(Reader, "version");
  Refusal.Reason = Reader.readString("reason", "none given");
  return Refusal;
}

static store::zone_status readZoneStatus(object_reader &Reader) {
  store::zone_status Status;
  Status.Zone = zone_name(Reader.readString("zone"));
  Status.Site = site_name(Reader.readString("site"));
  for (const zone_version_count &Count :
       detail::readList(Reader, "versions", readZoneVersionCount))
    Status.NodesByVersion[Count.Version] = Count.Nodes;
  Status.Refusals = detail::readList(Reader, "refusals", readRefusal);
  Status.UpdatedAt = detail::readWallTime(Reader, "updated_at_ms");
  return Status;
}

result<store::zone_status> decodeZoneStatus(std::string_view Text) {
  return detail::decodeObject(Text, "status", readZoneStatus);
}

std::string encode(const store::zone_status &Status) {
  json Versions = json::array();
  for (const auto &[Version, Nodes] : Status.NodesByVersion)
    Versions.push_back({{"version", Version}, {"nodes", Nodes}});
  json Refusals = json::array();
  for (const store::config_refusal &Refusal : Status.Refusals)
    Refusals.push_back({{"node", Refusal.Node.str()},
                        {"version", Refusal.Version},
                        {"reason", Refusal.Reason}});
  return json{{"zone", Status.Zone.str()},
              {"site", Status.Site.str()},
              {"versions", Versions},
              {"refusals", Refusals},
              {"updated_at_ms", detail::wallTimeMillis(Status.UpdatedAt)}}
      .dump();
}

} // namespace gentianlug::wire
