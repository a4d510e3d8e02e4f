#include "command_groups.h"
#include "facts.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/operator_errc.h"
#include "text.h"

#include <algorithm>

namespace gentianlug::operator_cli {

namespace {

/// All that `status` tells about.
struct mesh_view {
  store::config_head Head;
  /// The version in force; empty when it cannot be read.
  std::vector<config::site_configuration> Sites;
  /// Why the version cannot be read.
  std::string Fault;
  status_view Status;
  store::zone_state Zones;
  rollouts_view Rollouts;
};

/// One line of the list of events.
struct event_line {
  wall_time At;
  std::string Text;
  nlohmann::json Facts;
};

} // namespace

static result<mesh_view> readMesh(sync_store &Store) {
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
  auto Zones = readZones(Store);
  if (!Zones)
    return Zones.failure();
  auto Rollouts = readRollouts(Store);
  if (!Rollouts)
    return Rollouts.failure();
  mesh_view View{
      std::move(Head->Head), {}, {}, std::move(*Status), std::move(*Zones),
      std::move(*Rollouts)};
  if (Sites)
    View.Sites = std::move(*Sites);
  else
    View.Fault = Sites.failure().Detail;
  return View;
}

static std::set<zone_name> zoneNames(const mesh_view &View) {
  std::set<zone_name> Names;
  for (const config::site_configuration &Site : View.Sites)
    for (const config::availability_zone &Zone : Site.Zones)
      Names.insert(Zone.Name);
  return Names;
}

static void reportVersion(const mesh_view &View, command_report &Report) {
  version_progress Progress = progressOf(View.Status.Zones, View.Head.Version,
                                         zoneNames(View), View.Zones);
  Report.ReportJson["zones"] = toReportJsonArray(Progress.Zones);
  Report.ReportJson["everywhere"] = Progress.isComplete();
  Report.ReportJson["refusals"] = toReportJsonArray(Progress.Refusals);
  auto Newest = store::findVersion(View.Head, View.Head.Version);
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
    Report.add(describe(Zone, View.Head.Version));
  Report.ReportJson["silent_zones"] = nlohmann::json::array();
  for (const zone_name &Zone : Progress.UnreportedZones) {
    Report.add(describeUnreportedZone(Zone));
    Report.ReportJson["silent_zones"].push_back(Zone.str());
  }
  for (const store::config_refusal &Refusal : Progress.Refusals)
    Report.add(describe(Refusal));
  if (!View.Fault.empty())
    Report.add("The version cannot be read from the platform: " + View.Fault +
               ".");
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

/// Returns the rollouts of the configuration that no controller has written a
/// state for, as states that wait.
static std::vector<rollout::rollout_state>
rolloutsToStart(const mesh_view &View) {
  std::set<std::string> Started;
  for (const rollout::rollout_state &State : View.Rollouts.Rollouts)
    Started.insert(State.Id);
  std::vector<rollout::rollout_state> Waiting;
  for (const config::site_configuration &Site : View.Sites)
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

static void reportRollouts(const mesh_view &View, wall_time Now,
                           command_report &Report) {
  std::vector<rollout::rollout_state> States = View.Rollouts.Rollouts;
  for (rollout::rollout_state &State : rolloutsToStart(View))
    States.push_back(std::move(State));
  Report.ReportJson["rollouts"] = nlohmann::json::array();
  for (const rollout::rollout_state &State : States) {
    Report.add(describe(State, Now));
    Report.ReportJson["rollouts"].push_back(toReportJson(State, Now));
  }
  if (States.empty())
    Report.add("There is no rollout.");
}

static void reportUnreadable(const mesh_view &View, command_report &Report) {
  std::vector<std::string> Keys = View.Status.Unreadable;
  Keys.insert(Keys.end(), View.Rollouts.Unreadable.begin(),
              View.Rollouts.Unreadable.end());
  for (const std::string &Key : Keys)
    Report.add("The object " + Key + " on the platform cannot be read.");
  Report.ReportJson["unreadable"] = Keys;
}

result<command_report> runStatus(command_context &Context) {
  auto View = readMesh(Context.Store);
  if (!View)
    return View.failure();
  command_report Report;
  reportVersion(*View, Report);
  reportZones(View->Zones, Report);
  reportRollouts(*View, Context.Driver.wallNow(), Report);
  reportUnreadable(*View, Report);
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

static std::vector<event_line> collectEvents(const mesh_view &View,
                                             wall_time Now) {
  std::vector<event_line> Lines;
  for (const store::accepted_version &Version : store::knownVersions(View.Head))
    Lines.push_back(
        {Version.AcceptedAt, describe(Version), toReportJson(Version)});
  for (const store::zone_change &Move : View.Zones.RecentChanges)
    Lines.push_back({Move.At, describe(Move), toReportJson(Move)});
  for (const rollout::rollout_state &State : View.Rollouts.Rollouts)
    Lines.push_back({std::min(State.FinishBy, Now), describe(State, Now),
                     toReportJson(State, Now)});
  std::stable_sort(
      Lines.begin(), Lines.end(),
      [](const event_line &A, const event_line &B) { return A.At < B.At; });
  return Lines;
}

result<command_report> runEvents(command_context &Context) {
  auto View = readMesh(Context.Store);
  if (!View)
    return View.failure();
  command_report Report;
  Report.ReportJson["events"] = nlohmann::json::array();
  for (event_line &Line : collectEvents(*View, Context.Driver.wallNow())) {
    Report.add(std::move(Line.Text));
    Report.ReportJson["events"].push_back(std::move(Line.Facts));
  }
  if (Report.Lines.empty())
    Report.add("Nothing has happened yet.");
  return Report;
}

} // namespace gentianlug::operator_cli
