#include "gentianlug/mesh/version_policy.h"

#include <utility>

namespace gentianlug::mesh {

/// Time for which a removed rollout is remembered. A copy of the store is some
/// seconds old, and the operator soon writes again what it lacks; after that,
/// the same order is a new one.
static constexpr std::chrono::seconds RemovedRolloutMemory{30};

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

/// Returns the position of a stage within a rollout. Both final stages have the
/// same one.
static int stageRank(rollout_stage Stage) {
  switch (Stage) {
  case rollout_stage::Pending:
    return 0;
  case rollout_stage::Running:
    return 1;
  case rollout_stage::Switching:
    return 2;
  case rollout_stage::Completed:
  case rollout_stage::RolledBack:
    return 3;
  }
  return 0;
}

bool supersedes(const rollout_record &Known, const rollout_record &Read) {
  if (Known.Revision.Era >= Read.Revision.Era)
    return Known.Revision > Read.Revision;
  bool SameOrder = Known.TargetVersion == Read.TargetVersion &&
                   Known.Duration == Read.Duration;
  int KnownRank = stageRank(Known.Stage);
  int ReadRank = stageRank(Read.Stage);
  bool LaterInStage = KnownRank == ReadRank && !isFinished(Known) &&
                      Known.Elapsed > Read.Elapsed;
  return SameOrder && (KnownRank > ReadRank || LaterInStage);
}

version_policy::base_decision
version_policy::decisionOf(const rollout_record &Record,
                           const version_name &Version) {
  base_decision Decision{Version, {}, Record.Revision};
  if (isFinished(Record))
    Decision.RuledOut = Record.Stage == rollout_stage::Completed
                            ? Record.BaseVersion
                            : Record.TargetVersion;
  return Decision;
}

bool version_policy::holdsAgainst(const base_decision &Decided,
                                  const base_version &Stored) {
  if (Decided.Revision.Era >= Stored.Revision.Era)
    return Decided.Revision > Stored.Revision;
  return Decided.RuledOut == Stored.Version;
}

void version_policy::setBaseVersions(
    std::map<service_name, base_version> Stored) {
  for (const auto &[Service, Lost] : StoredBaseVersions) {
    if (Stored.contains(Service))
      continue;
    auto Decided = Decisions.find(Service);
    if (Decided == Decisions.end() || !holdsAgainst(Decided->second, Lost))
      Decisions[Service] = {Lost.Version, {}, Lost.Revision};
  }
  StoredBaseVersions = std::move(Stored);
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
  auto Decided = Decisions.find(Service);
  if (Decided != Decisions.end() &&
      (!Stored || holdsAgainst(Decided->second, *Stored)))
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
  return Version && (!Stored || Stored->Version != *Version);
}

/// Returns the record of \p Service in \p Records, or null.
static const rollout_record *
findRecord(const std::unordered_map<service_name, rollout_record> &Records,
           const service_name &Service) {
  auto Found = Records.find(Service);
  return Found == Records.end() ? nullptr : &Found->second;
}

const rollout_record *
version_policy::latestRecord(const record_table &Before,
                             const service_name &Service) const {
  if (const rollout_record *Record = findRecord(Before, Service))
    return Record;
  auto Removed = RemovedRollouts.find(Service);
  return Removed == RemovedRollouts.end() ? nullptr : &Removed->second.Record;
}

void version_policy::rememberRemoved(const record_table &Before,
                                     steady_time Now) {
  std::erase_if(RemovedRollouts, [&](const auto &Entry) {
    return Rollouts.contains(Entry.first);
  });
  for (const auto &[Service, Record] : Before)
    if (isFinished(Record) && !Rollouts.contains(Service))
      RemovedRollouts[Service] = {Record, Now};
}

void version_policy::setRollouts(const std::vector<rollout_record> &Records,
                                 steady_time Now) {
  std::erase_if(RemovedRollouts, [&](const auto &Entry) {
    return Now - Entry.second.RemovedAt > RemovedRolloutMemory;
  });
  record_table StoredBefore = std::exchange(StoredRollouts, {});
  record_table Before = std::exchange(Rollouts, {});
  for (const rollout_record &Record : Records) {
    const service_name &Service = Record.Service;
    const rollout_record *Stored = findRecord(StoredBefore, Service);
    if (!Stored || Stored->Revision <= Record.Revision)
      Stored = &Record;
    const rollout_record *Latest = latestRecord(Before, Service);
    if (!Latest || !supersedes(*Latest, *Stored))
      Latest = Stored;
    StoredRollouts[Service] = *Stored;
    Rollouts[Service] = *Latest;
    // What a record has decided holds also after it is removed.
    if (const version_name *Version = decidedVersion(*Latest))
      Decisions[Service] = decisionOf(*Latest, *Version);
  }
  rememberRemoved(Before, Now);
}

const rollout_record *
version_policy::rollout(const service_name &Service) const {
  return findRecord(Rollouts, Service);
}

const rollout_record *
version_policy::storedRollout(const service_name &Service) const {
  return findRecord(StoredRollouts, Service);
}

bool version_policy::isStoredRolloutOutdated(
    const service_name &Service) const {
  const rollout_record *Stored = storedRollout(Service);
  return Stored && rollout(Service)->Revision.Era < Stored->Revision.Era;
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
