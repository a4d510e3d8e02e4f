#include "gentianlug/mesh/version_policy.h"

namespace gentianlug::mesh {

void version_policy::setBaseVersion(const service_name &Service,
                                    const version_name &Version) {
  BaseVersions[Service] = Version;
}

const version_name *
version_policy::baseVersion(const service_name &Service) const {
  auto Rollout = Rollouts.find(Service);
  if (Rollout != Rollouts.end() &&
      Rollout->second.Stage == rollout_stage::Completed)
    return &Rollout->second.TargetVersion;
  auto Found = BaseVersions.find(Service);
  return Found == BaseVersions.end() ? nullptr : &Found->second;
}

void version_policy::setRollouts(const std::vector<rollout_record> &Records) {
  // A completed rollout changes the base version, which stays after the record
  // is removed or replaced by the next rollout.
  std::unordered_map<service_name, rollout_record> Before;
  Before.swap(Rollouts);
  for (const rollout_record &Record : Records) {
    if (Record.Stage == rollout_stage::Completed)
      BaseVersions[Record.Service] = Record.TargetVersion;
    // The records may come from a source that lags behind.
    auto Known = Before.find(Record.Service);
    bool Older =
        Known != Before.end() && Known->second.Revision > Record.Revision;
    Rollouts[Record.Service] = Older ? Known->second : Record;
  }
}

const rollout_record *
version_policy::rollout(const service_name &Service) const {
  auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() ? nullptr : &Found->second;
}

const version_name *version_policy::chooseVersion(const service_name &Service,
                                                  generator &Gen) const {
  const rollout_record *Rollout = rollout(Service);
  if (Rollout && Rollout->Stage == rollout_stage::Switching)
    return &Rollout->TargetVersion;
  if (Rollout && Rollout->Stage == rollout_stage::Running &&
      drawBool(Gen, Rollout->TrafficShare))
    return &Rollout->TargetVersion;
  return baseVersion(Service);
}

bool version_policy::mayServe(const service_name &Service,
                              const version_name &Version) const {
  const rollout_record *Rollout = rollout(Service);
  const version_name *Base = baseVersion(Service);
  if (Rollout && Rollout->Stage == rollout_stage::Switching)
    return Version == Rollout->TargetVersion;
  if (Rollout && Rollout->Stage == rollout_stage::Running &&
      Version == Rollout->TargetVersion)
    return true;
  return Base && Version == *Base;
}

} // namespace gentianlug::mesh
