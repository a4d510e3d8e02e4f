#include "gentianlug/settings/node_settings.h"

#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"

namespace gentianlug::settings {

static std::vector<address> readSeedPeers(object_reader &Reader) {
  std::vector<address> Peers;
  const nlohmann::json *Array = Reader.array("seed_peers");
  if (!Array)
    return Peers;
  if (Array->size() > MaxSeedPeers)
    Reader.faults().add(Reader.pathOf("seed_peers"),
                        "must have at most " + std::to_string(MaxSeedPeers) +
                            " entries");
  for (const nlohmann::json &Entry : *Array) {
    auto Parsed = parseAddress(Entry.is_string() ? Entry.get<std::string>()
                                                 : std::string());
    if (Parsed)
      Peers.push_back(*Parsed);
    else
      Reader.faults().add(Reader.pathOf("seed_peers"),
                          "must be a list of addresses of the form HOST:PORT");
  }
  return Peers;
}

static rollout_verdict readRolloutEvaluator(object_reader &Reader) {
  std::string Text = Reader.text("rollout_verdict", "sequential");
  if (Text != "sequential" && Text != "fixed")
    Reader.faults().add(Reader.pathOf("rollout_verdict"),
                        "must be \"sequential\" or \"fixed\"");
  return Text == "fixed" ? rollout_verdict::Fixed : rollout_verdict::Sequential;
}

result<node_settings> parseNodeSettings(std::string_view Text,
                                        const std::string &File) {
  auto Json = parseJson(Text, File);
  if (!Json)
    return Json.failure();
  fault_list Faults(File);
  object_reader Reader(*Json, "", Faults);
  node_settings Settings;
  Settings.Node = node_id(Reader.text("node"));
  Settings.Site = site_name(Reader.text("site"));
  Settings.Region = region_name(Reader.text("region"));
  Settings.Zone = zone_name(Reader.text("availability_zone"));
  Settings.CallerListen = Reader.endpoint("caller_listen");
  Settings.PeerListen = Reader.endpoint("peer_listen");
  Settings.PeerAddress = Json->contains("peer_address")
                             ? Reader.endpoint("peer_address")
                             : Settings.PeerListen;
  Settings.ControlListen = Reader.endpoint("control_listen");
  Settings.AdminListen = Reader.endpoint("admin_listen");
  Settings.Platform = Reader.endpoint("platform");
  Settings.SeedPeers = readSeedPeers(Reader);
  Settings.Seed = std::uint64_t(Reader.number("seed", 0, INT64_MAX, 0));
  Settings.RolloutVerdict = readRolloutEvaluator(Reader);
  Reader.finish();
  if (!Faults.empty())
    return Faults.toError();
  return Settings;
}

} // namespace gentianlug::settings
