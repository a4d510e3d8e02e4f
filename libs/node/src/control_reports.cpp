#include "control_task_impl.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace gentianlug::node {

using distribution::subtree_report;
using std::chrono::milliseconds;

/// Number of report periods between two attempts to return to the own zone.
static constexpr unsigned ReportsPerOwnZoneAttempt = 5;

subtree_report control_task::impl::ownReport() const {
  subtree_report Report;
  Report.NodesByVersion[State.configVersion()] = 1;
  Report.Refusals = Refusals;
  return Report;
}

subtree_report control_task::impl::report() const {
  subtree_report Report = ownReport();
  Report.merge(Listener.report());
  return Report;
}

subtree_report control_task::impl::zoneReport() const {
  subtree_report Report = report();
  Report.merge(Listener.relayReports(Settings.Zone));
  return Report;
}

void control_task::impl::onReportTimer() {
  expireServerAnnouncement();
  if (RelayRole.isRoot()) {
    exchangeWithRelays();
    RelayRole.onReportChanged();
  } else if (++ReportCount % ReportsPerOwnZoneAttempt == 0) {
    returnToOwnZone();
  }
  if (Listener.children().size() > 0 || RelayRole.isRoot())
    checkOrphans();
  advanceStartup();
  reportStatus();
}

std::chrono::nanoseconds control_task::impl::threadCpuTime() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::nanoseconds(Time.tv_nsec);
}

void control_task::impl::updateMetrics() {
  Metrics.gauge("gentianlug_config_version", double(State.configVersion()));
  Metrics.gauge("gentianlug_members", double(State.members().size()));
  Metrics.gauge("gentianlug_children", double(Listener.children().size()));
  Metrics.gauge("gentianlug_control_bytes_total",
                double(Listener.bytes() + ParentLink.bytes() +
                       RelayExchange.bytes() + SeedPeers.bytes()));
  Metrics.gauge("gentianlug_resident_bytes", residentBytes());
  Metrics.gauge("gentianlug_control_cpu_seconds_total",
                std::chrono::duration<double>(threadCpuTime()).count());
}

std::int64_t control_task::impl::toUnixMilliseconds(wall_time Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

nlohmann::json control_task::impl::recentVersionsToJson() const {
  nlohmann::json Versions = nlohmann::json::array();
  for (const auto &[Version, At] : RecentVersions)
    Versions.push_back(
        {{"version", Version}, {"in_force_at_ms", toUnixMilliseconds(At)}});
  return Versions;
}

double control_task::impl::residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * double(sysconf(_SC_PAGESIZE));
}

void control_task::impl::reportStatus() {
  updateMetrics();
  task_report Report;
  Report.Task = "control";
  Report.Metrics = Metrics.render();
  Report.StatusJson =
      nlohmann::json{{"node", Settings.Node.str()},
                     {"availability_zone", Settings.Zone.str()},
                     {"config_version", State.configVersion()},
                     {"in_force_at_ms",
                      RecentVersions.empty()
                          ? 0
                          : toUnixMilliseconds(RecentVersions.back().second)},
                     {"recent", recentVersionsToJson()},
                     {"served_version", Snapshot.Configuration
                                            ? Snapshot.Configuration->Version
                                            : 0},
                     {"members", State.members().size()},
                     {"live_members", State.members().liveCount()},
                     {"zones_out", Snapshot.ZonesOutOfService.size()},
                     {"rollouts", Snapshot.Rollouts.size()},
                     {"parent", OwnRecord.Parent.str()},
                     {"root_relay", RelayRole.isRoot()}}
          .dump();
  Report.StatusLines.push_back(
      State.configVersion() == 0
          ? "No configuration is in force on this node yet."
          : "Configuration version " + std::to_string(State.configVersion()) +
                " is in force on this node.");
  Outputs.Report(std::move(Report));
}

} // namespace gentianlug::node
