#include "gentianlug/mesh/version_policy.h"

namespace gentianlug::mesh {

bool isFinished(const rollout_record &Record) {
  return Record.Stage == rollout_stage::Completed ||
         Record.Stage == rollout_stage::RolledBack;
}

/// Returns the version that \p Record leaves in use, or null if it names none.
static const version_name *decidedVersion(const rollout_record &Record) {
  if (Record.Stage == rollout_stage::Completed)
    return &Record.TargetVersion;
  return Record.BaseVersion.empty() ? nullptr : &Record.BaseVersion;
}

void version_policy::setBaseVersion(const service_name &Service,
                                    base_version Stored) {
  StoredBaseVersions[Service] = std::move(Stored);
}

const base_version *
version_policy::storedBaseVersion(const service_name &Service) const {
  auto Found = StoredBaseVersions.find(Service);
  return Found == StoredBaseVersions.end() ? nullptr : &Found->second;
}

const version_name *
version_policy::baseVersion(const service_name &Service) const {
  if (const rollout_record *Record = rollout(Service))
    if (const version_name *Version = decidedVersion(*Record))
      return Version;
  const base_version *Stored = storedBaseVersion(Service);
  auto Decided = DecidedBaseVersions.find(Service);
  if (Decided != DecidedBaseVersions.end() &&
      (!Stored || Stored->Revision < Decided->second.Revision))
    return &Decided->second.Version;
  return Stored ? &Stored->Version : nullptr;
}

bool version_policy::isStoredBaseVersionOutdated(
    const service_name &Service) const {
  const rollout_record *Record = rollout(Service);
  if (Record && !isFinished(*Record) && decidedVersion(*Record))
    return false;
  const base_version *Stored = storedBaseVersion(Service);
  const version_name *Version = baseVersion(Service);
  return Stored && Version && Stored->Version != *Version;
}

void version_policy::setRollouts(const std::vector<rollout_record> &Records) {
  std::unordered_map<service_name, rollout_record> Before;
  Before.swap(Rollouts);
  for (const rollout_record &Record : Records) {
    // The records may come from a source that lags behind.
    auto Known = Before.find(Record.Service);
    bool Older =
        Known != Before.end() && Known->second.Revision > Record.Revision;
    const rollout_record &Latest = Older ? Known->second : Record;
    // What a record has decided holds also after it is removed.
    if (const version_name *Version = decidedVersion(Latest))
      DecidedBaseVersions[Record.Service] = {*Version, Latest.Revision};
    Rollouts[Record.Service] = Latest;
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
