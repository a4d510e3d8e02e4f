#include "command_groups.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/operator_errc.h"
#include "report_json.h"
#include "report_text.h"

#include <algorithm>

namespace gentianlug::operator_cli {

namespace {

/// State of the mesh as read from the platform.
struct mesh_snapshot {
  store::config_head Head;
  /// The newest accepted configuration; empty when it cannot be read.
  std::vector<config::site_configuration> Sites;
  /// Why the configuration cannot be read; empty when it was read.
  std::string ReadError;
  status_view Status;
  store::zone_state Zones;
  rollouts_view Rollouts;
};

/// One entry of the list that `events` prints.
struct event_entry {
  wall_time At;
  std::string Text;
  nlohmann::json ReportJson;
};

} // namespace

static result<mesh_snapshot> readSnapshot(sync_store &Store) {
  auto Head = readHead(Store);
  if (!Head)
    return Head.failure();
  result<std::vector<config::site_configuration>> Sites =
      std::vector<config::site_configuration>{};
  if (Head->Head.Version > 0)
    Sites = readSites(Store, Head->Head.ManifestHash, {});
  if (!Sites &&
      Sites.failure().Code == make_error_code(operator_errc::PlatformDown))
    return Sites.failure();
  auto Status = readStatus(Store);
  if (!Status)
    return Status.failure();
  auto Zones = readZoneState(Store);
  if (!Zones)
    return Zones.failure();
  auto Rollouts = readRollouts(Store);
  if (!Rollouts)
    return Rollouts.failure();
  mesh_snapshot Snapshot{
      std::move(Head->Head), {}, {}, std::move(*Status), std::move(*Zones),
      std::move(*Rollouts)};
  if (Sites)
    Snapshot.Sites = std::move(*Sites);
  else
    Snapshot.ReadError = Sites.failure().Detail;
  return Snapshot;
}

static std::set<zone_name> zoneNames(const mesh_snapshot &Snapshot) {
  std::set<zone_name> Names;
  for (const config::site_configuration &Site : Snapshot.Sites)
    for (const config::availability_zone &Zone : Site.Zones)
      Names.insert(Zone.Name);
  return Names;
}

static void reportVersion(const mesh_snapshot &Snapshot,
                          command_report &Report) {
  version_progress Progress =
      computeProgress(Snapshot.Status.Zones, Snapshot.Head.Version,
                      zoneNames(Snapshot), Snapshot.Zones);
  Report.ReportJson["zones"] = toReportJsonArray(Progress.Zones);
  Report.ReportJson["everywhere"] = Progress.isComplete();
  Report.ReportJson["refusals"] = toReportJsonArray(Progress.Refusals);
  auto Newest = store::findVersion(Snapshot.Head, Snapshot.Head.Version);
  if (!Newest) {
    Report.add("No version was accepted yet.");
    return;
  }
  Report.ReportJson["version"] = toReportJson(*Newest);
  Report.add(describe(*Newest));
  if (Progress.nodes() == 0)
    Report.add("No node has reported yet.");
  else
    Report.add(Progress.isComplete() ? "It is in force everywhere."
                                     : "It is not yet in force everywhere.");
  for (const zone_progress &Zone : Progress.Zones)
    Report.add(describe(Zone, Snapshot.Head.Version));
  Report.ReportJson["silent_zones"] = nlohmann::json::array();
  for (const zone_name &Zone : Progress.UnreportedZones) {
    Report.add(describeUnreportedZone(Zone));
    Report.ReportJson["silent_zones"].push_back(Zone.str());
  }
  for (const store::config_refusal &Refusal : Progress.Refusals)
    Report.add(describe(Refusal));
  if (!Snapshot.ReadError.empty())
    Report.add("The version cannot be read from the platform: " +
               Snapshot.ReadError + ".");
}

static void reportZones(const store::zone_state &Zones,
                        command_report &Report) {
  Report.ReportJson["zones_out"] = nlohmann::json::array();
  for (const auto &[Zone, Out] : Zones.OutOfService) {
    Report.add(describe(Zone, Out));
    Report.ReportJson["zones_out"].push_back(toReportJson(Zone, Out));
  }
  if (Zones.OutOfService.empty())
    Report.add("No zone is out.");
}

/// Returns a state in phase `Waiting` for each rollout of the configuration for
/// which no controller has written a state.
static std::vector<rollout::rollout_state>
rolloutsNotStarted(const mesh_snapshot &Snapshot) {
  std::set<std::string> Started;
  for (const rollout::rollout_state &State : Snapshot.Rollouts.Rollouts)
    Started.insert(State.Id);
  std::vector<rollout::rollout_state> Waiting;
  for (const config::site_configuration &Site : Snapshot.Sites)
    for (const config::rollout &Rollout : Site.Rollouts) {
      if (!Started.insert(Rollout.id()).second)
        continue;
      rollout::rollout_state State;
      State.Id = Rollout.id();
      State.Service = Rollout.Service;
      State.Version = Rollout.Version;
      State.FinishBy = Rollout.FinishBy;
      Waiting.push_back(std::move(State));
    }
  return Waiting;
}

static void reportRollouts(const mesh_snapshot &Snapshot, wall_time Now,
                           command_report &Report) {
  std::vector<rollout::rollout_state> States = Snapshot.Rollouts.Rollouts;
  for (rollout::rollout_state &State : rolloutsNotStarted(Snapshot))
    States.push_back(std::move(State));
  Report.ReportJson["rollouts"] = nlohmann::json::array();
  for (const rollout::rollout_state &State : States) {
    Report.add(describe(State, Now));
    Report.ReportJson["rollouts"].push_back(toReportJson(State, Now));
  }
  if (States.empty())
    Report.add("There is no rollout.");
}

static void reportUnreadable(const mesh_snapshot &Snapshot,
                             command_report &Report) {
  std::vector<std::string> Keys = Snapshot.Status.MalformedKeys;
  Keys.insert(Keys.end(), Snapshot.Rollouts.MalformedKeys.begin(),
              Snapshot.Rollouts.MalformedKeys.end());
  for (const std::string &Key : Keys)
    Report.add("The object " + Key + " on the platform cannot be read.");
  Report.ReportJson["unreadable"] = Keys;
}

result<command_report> runStatus(command_context &Context) {
  auto Snapshot = readSnapshot(Context.Store);
  if (!Snapshot)
    return Snapshot.failure();
  command_report Report;
  reportVersion(*Snapshot, Report);
  reportZones(Snapshot->Zones, Report);
  reportRollouts(*Snapshot, Context.Driver.wallNow(), Report);
  reportUnreadable(*Snapshot, Report);
  return Report;
}

result<command_report> runHistory(command_context &Context) {
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  std::vector<store::accepted_version> Versions =
      store::knownVersions(Head->Head);
  std::reverse(Versions.begin(), Versions.end());
  command_report Report;
  for (const store::accepted_version &Version : Versions)
    Report.add(describe(Version));
  if (Versions.empty())
    Report.add("No version was accepted yet.");
  Report.ReportJson["versions"] = toReportJsonArray(Versions);
  return Report;
}

static std::vector<event_entry> collectEvents(const mesh_snapshot &Snapshot,
                                              wall_time Now) {
  std::vector<event_entry> Entries;
  for (const store::accepted_version &Version :
       store::knownVersions(Snapshot.Head))
    Entries.push_back(
        {Version.AcceptedAt, describe(Version), toReportJson(Version)});
  for (const store::zone_change &Change : Snapshot.Zones.RecentChanges)
    Entries.push_back({Change.At, describe(Change), toReportJson(Change)});
  for (const rollout::rollout_state &State : Snapshot.Rollouts.Rollouts)
    Entries.push_back({std::min(State.FinishBy, Now), describe(State, Now),
                       toReportJson(State, Now)});
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const event_entry &Left, const event_entry &Right) {
                     return Left.At < Right.At;
                   });
  return Entries;
}

result<command_report> runEvents(command_context &Context) {
  auto Snapshot = readSnapshot(Context.Store);
  if (!Snapshot)
    return Snapshot.failure();
  command_report Report;
  Report.ReportJson["events"] = nlohmann::json::array();
  for (event_entry &Entry :
       collectEvents(*Snapshot, Context.Driver.wallNow())) {
    Report.add(std::move(Entry.Text));
    Report.ReportJson["events"].push_back(std::move(Entry.ReportJson));
  }
  if (Report.Lines.empty())
    Report.add("Nothing has happened yet.");
  return Report;
}

} // namespace gentianlug::operator_cli
