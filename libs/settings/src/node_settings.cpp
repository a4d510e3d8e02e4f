#include "gentianlug/settings/node_settings.h"

#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"

namespace gentianlug::settings {

static std::vector<address> readSeedPeers(object_reader &Reader) {
  std::vector<address> Peers;
  const nlohmann::json *Array = Reader.findArray("seed_peers");
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

static evaluator_kind readRolloutEvaluator(object_reader &Reader) {
  std::string Text = Reader.readString("rollout_verdict", "sequential");
  if (Text != "sequential" && Text != "fixed")
    Reader.faults().add(Reader.pathOf("rollout_verdict"),
                        "must be \"sequential\" or \"fixed\"");
  return Text == "fixed" ? evaluator_kind::FixedThreshold
                         : evaluator_kind::Sequential;
}

result<node_settings> parseNodeSettings(std::string_view Text,
                                        const std::string &File) {
  auto Json = parseJson(Text, File);
  if (!Json)
    return Json.failure();
  fault_list Faults(File);
  object_reader Reader(*Json, "", Faults);
  node_settings Settings;
  Settings.Node = node_id(Reader.readString("node"));
  Settings.Site = site_name(Reader.readString("site"));
  Settings.Region = region_name(Reader.readString("region"));
  Settings.Zone = zone_name(Reader.readString("availability_zone"));
  Settings.CallerListen = Reader.readAddress("caller_listen");
  Settings.PeerListen = Reader.readAddress("peer_listen");
  Settings.PeerAddress = Json->contains("peer_address")
                             ? Reader.readAddress("peer_address")
                             : Settings.PeerListen;
  Settings.ControlListen = Reader.readAddress("control_listen");
  Settings.AdminListen = Reader.readAddress("admin_listen");
  Settings.Platform = Reader.readAddress("platform");
  Settings.SeedPeers = readSeedPeers(Reader);
  Settings.Seed = std::uint64_t(Reader.readInteger("seed", 0, INT64_MAX, 0));
  Settings.EvaluatorKind = readRolloutEvaluator(Reader);
  Reader.reportUnknownKeys();
  if (!Faults.empty())
    return Faults.toError();
  return Settings;
}

} // namespace gentianlug::settings
