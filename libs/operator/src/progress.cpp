#include "gentianlug/operator/progress.h"

namespace gentianlug::operator_cli {

std::uint32_t version_progress::current() const {
  std::uint32_t Sum = 0;
  for (const zone_progress &Zone : Zones)
    Sum += Zone.OutOfService ? 0 : Zone.Current;
  return Sum;
}

std::uint32_t version_progress::nodes() const {
  std::uint32_t Sum = 0;
  for (const zone_progress &Zone : Zones)
    Sum += Zone.OutOfService ? 0 : Zone.Nodes;
  return Sum;
}

version_progress
computeProgress(const std::vector<store::zone_status> &Statuses,
                config_version Version,
                const std::set<zone_name> &ConfiguredZones,
                const store::zone_state &State) {
  version_progress Progress;
  std::set<zone_name> Unreported = ConfiguredZones;
  for (const auto &[Zone, Entry] : State.OutOfService)
    Unreported.erase(Zone);
  for (const store::zone_status &Status : Statuses) {
    zone_progress Zone{Status.Zone, 0, 0,
                       State.OutOfService.count(Status.Zone) > 0};
    Unreported.erase(Status.Zone);
    for (const auto &[InForce, Nodes] : Status.NodesByVersion) {
      Zone.Nodes += Nodes;
      Zone.Current += InForce >= Version ? Nodes : 0;
    }
    Progress.Zones.push_back(std::move(Zone));
    for (const store::config_refusal &Refusal : Status.Refusals)
      if (Refusal.Version == Version)
        Progress.Refusals.push_back(Refusal);
  }
  Progress.UnreportedZones.assign(Unreported.begin(), Unreported.end());
  return Progress;
}

rollout_outcome outcomeOf(const rollout::rollout_state &State, wall_time Now) {
  if (State.Phase == rollout::rollout_phase::Completed)
    return rollout_outcome::Completed;
  if (State.Phase == rollout::rollout_phase::RolledBack ||
      State.FinishBy <= Now)
    return rollout_outcome::RolledBack;
  return rollout_outcome::InProgress;
}

} // namespace gentianlug::operator_cli
