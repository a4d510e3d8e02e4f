#include "gentianlug/mesh/server_lifecycle.h"

#include <unordered_map>

namespace gentianlug::mesh {

/// Returns how far the server has left; never decreases within one run.
static int leavingRank(server_state State) {
  switch (State) {
  case server_state::Ready:
  case server_state::Paused:
    return 0;
  case server_state::Draining:
    return 1;
  case server_state::Gone:
    return 2;
  }
  return 0;
}

static bool isLeaving(server_state State) { return leavingRank(State) > 0; }

template <class left, class right>
static bool isSameRun(const left &Left, const right &Right) {
  return Left.Instance == Right.Instance &&
         Left.Incarnation == Right.Incarnation;
}

bool supersedes(const server_record &Stored, const server_record &Next) {
  if (Stored.Service != Next.Service || Stored.Zone != Next.Zone)
    return false;
  return Stored.Incarnation > Next.Incarnation ||
         (isSameRun(Stored, Next) &&
          leavingRank(Stored.State) > leavingRank(Next.State));
}

std::vector<server_record>
keepLeavings(std::vector<server_record> Read,
             const std::vector<server_record> &Known) {
  std::unordered_map<node_id, const server_record *> Leaving;
  for (const server_record &Record : Known)
    if (isLeaving(Record.State))
      Leaving.emplace(Record.Node, &Record);
  if (Leaving.empty())
    return Read;
  for (server_record &Record : Read) {
    auto Found = Leaving.find(Record.Node);
    if (Found != Leaving.end() && isSameRun(*Found->second, Record) &&
        supersedes(*Found->second, Record))
      Record = *Found->second;
  }
  return Read;
}

const char *findIdentityMismatch(const server_identity &Identity,
                                 const server_announcement &Announcement) {
  if (!Identity.Service.empty() && Announcement.Service != Identity.Service)
    return "the server of this VM belongs to another service";
  if (!Identity.Zone.empty() && Announcement.Zone != Identity.Zone)
    return "the server of this VM is in another availability zone";
  if (!Identity.Address.Host.empty() &&
      Announcement.Address != Identity.Address)
    return "the server of this VM has another address";
  return nullptr;
}

lifecycle_change server_lifecycle::onStoredRecord(const server_record &Record) {
  if (Record.Instance != DeniedInstance &&
      !(StoredRecord && supersedes(*StoredRecord, Record)))
    StoredRecord = Record;
  bool StoredIsLater =
      StoredRecord &&
      (!Current || Current->Incarnation < StoredRecord->Incarnation);
  if (StoredIsLater && UnannouncedGone &&
      isSameRun(*UnannouncedGone, *StoredRecord)) {
    adoptStoredRunAsGone();
    return lifecycle_change::Changed;
  }
  if (!Current || !isSameRun(*Current, Record) ||
      leavingRank(Record.State) <= leavingRank(Current->State))
    return lifecycle_change::Unchanged;
  Current->State = Record.State;
  return lifecycle_change::Changed;
}

void server_lifecycle::adoptStoredRunAsGone() {
  server_announcement Next;
  Next.Instance = StoredRecord->Instance;
  Next.Service = StoredRecord->Service;
  Next.Version = StoredRecord->Version;
  Next.Zone = StoredRecord->Zone;
  Next.Slots = StoredRecord->Slots;
  Next.State = server_state::Gone;
  Next.Incarnation = StoredRecord->Incarnation;
  Next.Sequence = StoredRecord->Sequence;
  Current = std::move(Next);
}

lifecycle_change
server_lifecycle::onAnnouncement(const server_announcement &Announced) {
  server_announcement Next = Announced;
  if (UnannouncedGone && isSameRun(*UnannouncedGone, Next))
    Next.State = server_state::Gone;
  if (StoredRecord && isSameRun(*StoredRecord, Next) &&
      isLeaving(StoredRecord->State) && !isLeaving(Next.State))
    return lifecycle_change::Ignored;
  if (StoredRecord && Next.Incarnation < StoredRecord->Incarnation)
    return lifecycle_change::Ignored;
  bool ReplacesDenied = Current && Current->Instance == DeniedInstance &&
                        Next.Instance != DeniedInstance;
  if (!Current || Next.Incarnation > Current->Incarnation || ReplacesDenied) {
    if (Next.Instance == DeniedInstance)
      DeniedInstance.clear();
    Current = Next;
    return lifecycle_change::Changed;
  }
  if (Next.Incarnation < Current->Incarnation ||
      Next.Instance != Current->Instance || Next.Sequence <= Current->Sequence)
    return lifecycle_change::Ignored;
  server_state Before = Current->State;
  bool Same = Before == Next.State && Current->Slots == Next.Slots &&
              Current->Version == Next.Version &&
              Current->Address == Next.Address;
  Current = Next;
  if (isLeaving(Before))
    Current->State = Before;
  return Same || isLeaving(Before) ? lifecycle_change::Unchanged
                                   : lifecycle_change::Changed;
}

lifecycle_change
server_lifecycle::onServerLeaving(const std::string &Instance) {
  if (!Current || Current->Instance != Instance)
    return lifecycle_change::Ignored;
  if (isLeaving(Current->State))
    return lifecycle_change::Unchanged;
  Current->State = server_state::Draining;
  return lifecycle_change::Changed;
}

lifecycle_change
server_lifecycle::onServerGone(const std::string &Instance,
                               std::optional<incarnation_number> Incarnation) {
  bool Announced = Current && Current->Instance == Instance;
  if (Announced && Incarnation && *Incarnation < Current->Incarnation)
    return lifecycle_change::Ignored;
  if (!Announced || (Incarnation && *Incarnation > Current->Incarnation))
    return onUnannouncedServerGone(Instance, Incarnation);
  if (Current->State == server_state::Gone)
    return lifecycle_change::Unchanged;
  Current->State = server_state::Gone;
  return lifecycle_change::Changed;
}

lifecycle_change server_lifecycle::onUnannouncedServerGone(
    const std::string &Instance,
    std::optional<incarnation_number> Incarnation) {
  if (StoredRecord && StoredRecord->Instance == Instance && !Incarnation)
    Incarnation = StoredRecord->Incarnation;
  if (!Incarnation || (Current && *Incarnation < Current->Incarnation))
    return lifecycle_change::Ignored;
  server_run Run{Instance, *Incarnation};
  if (StoredRecord && isSameRun(Run, *StoredRecord)) {
    adoptStoredRunAsGone();
    return lifecycle_change::Changed;
  }
  if (UnannouncedGone && Run.Incarnation < UnannouncedGone->Incarnation)
    return lifecycle_change::Ignored;
  UnannouncedGone = std::move(Run);
  return lifecycle_change::Unchanged;
}

void server_lifecycle::onInstanceDenied(const std::string &Instance) {
  if (!Current || Current->Instance != Instance)
    return;
  DeniedInstance = Instance;
  if (StoredRecord && StoredRecord->Instance == Instance)
    StoredRecord.reset();
}

} // namespace gentianlug::mesh
