#include "gentianlug/wire/platform_values.h"

#include "detail/decoder.h"

namespace gentianlug::wire {

using nlohmann::json;
using settings::object_reader;

static platform::config_head readHead(object_reader &Reader) {
  platform::config_head Head;
  Head.Version = detail::readUnsigned(Reader, "version");
  Head.ManifestHash = Reader.text("manifest");
  Head.Author = Reader.text("author");
  Head.Reason = Reader.text("reason", "none given");
  Head.AcceptedAt = detail::readWallTime(Reader, "accepted_at_ms");
  Head.WriteId = Reader.text("write_id");
  return Head;
}

result<platform::config_head> decodeConfigHead(std::string_view Text) {
  return detail::decodeObject(Text, "live/config", readHead);
}

std::string encode(const platform::config_head &Head) {
  return json{{"version", Head.Version},
              {"manifest", Head.ManifestHash},
              {"author", Head.Author},
              {"reason", Head.Reason},
              {"accepted_at_ms", detail::wallTimeCount(Head.AcceptedAt)},
              {"write_id", Head.WriteId}}
      .dump();
}

static platform::site_manifest readSite(object_reader &Reader) {
  platform::site_manifest Site;
  Site.RootHash = Reader.text("root");
  const json *Parts = Reader.object("parts");
  if (!Parts)
    return Site;
  object_reader Hashes(*Parts, Reader.pathOf("parts"), Reader.faults());
  for (const auto &Item : Parts->items())
    Site.Parts.emplace(Item.key(), Hashes.text(Item.key()));
  return Site;
}

static platform::config_manifest readManifest(object_reader &Reader) {
  platform::config_manifest Manifest;
  const json *Sites = Reader.object("sites");
  if (!Sites)
    return Manifest;
  for (const auto &Item : Sites->items()) {
    object_reader Site(Item.value(), "sites." + Item.key(), Reader.faults());
    Manifest.Sites.emplace(site_name(Item.key()), readSite(Site));
  }
  return Manifest;
}

result<platform::config_manifest> decodeConfigManifest(std::string_view Text) {
  return detail::decodeObject(Text, "manifest", readManifest);
}

std::string encode(const platform::config_manifest &Manifest) {
  json Sites = json::object();
  for (const auto &[Name, Site] : Manifest.Sites)
    Sites[Name.str()] = {{"root", Site.RootHash}, {"parts", Site.Parts}};
  return json{{"sites", Sites}}.dump();
}

static platform::zone_state readZoneState(object_reader &Reader) {
  platform::zone_state State;
  State.WriteId = Reader.text("write_id");
  const json *Out = Reader.object("out");
  if (!Out)
    return State;
  for (const auto &Item : Out->items()) {
    object_reader Zone(Item.value(), "out." + Item.key(), Reader.faults());
    State.Out.emplace(
        zone_name(Item.key()),
        platform::zone_out{Zone.text("author"),
                           Zone.text("reason", "none given"),
                           detail::readWallTime(Zone, "since_ms")});
  }
  return State;
}

result<platform::zone_state> decodeZoneState(std::string_view Text) {
  return detail::decodeObject(Text, "live/zones", readZoneState);
}

std::string encode(const platform::zone_state &State) {
  json Out = json::object();
  for (const auto &[Zone, Entry] : State.Out)
    Out[Zone.str()] = {{"author", Entry.Author},
                       {"reason", Entry.Reason},
                       {"since_ms", detail::wallTimeCount(Entry.Since)}};
  return json{{"write_id", State.WriteId}, {"out", Out}}.dump();
}

/// One row of the count of nodes by version.
struct version_count {
  config_version Version = 0;
  std::uint32_t Nodes = 0;
};

static version_count readVersionCount(object_reader &Reader) {
  version_count Row;
  Row.Version = detail::readUnsigned(Reader, "version");
  Row.Nodes = std::uint32_t(Reader.number("nodes", 0, 1000000));
  return Row;
}

static platform::config_refusal readRefusal(object_reader &Reader) {
  platform::config_refusal Refusal;
  Refusal.Node = node_id(Reader.text("node"));
  Refusal.Version = detail::readUnsigned(Reader, "version");
  Refusal.Reason = Reader.text("reason", "none given");
  return Refusal;
}

static platform::zone_status readZoneStatus(object_reader &Reader) {
  platform::zone_status Status;
  Status.Zone = zone_name(Reader.text("zone"));
  Status.Site = site_name(Reader.text("site"));
  for (const version_count &Row :
       detail::readList(Reader, "versions", readVersionCount))
    Status.NodesByVersion[Row.Version] = Row.Nodes;
  Status.Refusals = detail::readList(Reader, "refusals", readRefusal);
  Status.UpdatedAt = detail::readWallTime(Reader, "updated_at_ms");
  return Status;
}

result<platform::zone_status> decodeZoneStatus(std::string_view Text) {
  return detail::decodeObject(Text, "status", readZoneStatus);
}

std::string encode(const platform::zone_status &Status) {
  json Versions = json::array();
  for (const auto &[Version, Nodes] : Status.NodesByVersion)
    Versions.push_back({{"version", Version}, {"nodes", Nodes}});
  json Refusals = json::array();
  for (const platform::config_refusal &Refusal : Status.Refusals)
    Refusals.push_back({{"node", Refusal.Node.str()},
                        {"version", Refusal.Version},
                        {"reason", Refusal.Reason}});
  return json{{"zone", Status.Zone.str()},
              {"site", Status.Site.str()},
              {"versions", Versions},
              {"refusals", Refusals},
              {"updated_at_ms", detail::wallTimeCount(Status.UpdatedAt)}}
      .dump();
}

} // namespace gentianlug::wire
