#include "gentianlug/mesh/server_lifecycle.h"

namespace gentianlug::mesh {

static bool isLeaving(server_state State) {
  return State == server_state::Draining || State == server_state::Gone;
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

void server_lifecycle::restoreRecord(const server_record &Record) {
  StoredRecord = Record;
}

lifecycle_change
server_lifecycle::onAnnouncement(const server_announcement &Next) {
  if (StoredRecord && StoredRecord->Instance == Next.Instance &&
      StoredRecord->Incarnation == Next.Incarnation &&
      isLeaving(StoredRecord->State) && !isLeaving(Next.State))
    return lifecycle_change::Ignored;
  if (StoredRecord && Next.Incarnation < StoredRecord->Incarnation)
    return lifecycle_change::Ignored;
  bool ReplacesDenied = InstanceDenied && Next.Instance != Current->Instance;
  if (!Current || Next.Incarnation > Current->Incarnation || ReplacesDenied) {
    InstanceDenied = false;
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
  if (!Current || Current->Instance != Instance ||
      (Incarnation && *Incarnation < Current->Incarnation))
    return lifecycle_change::Ignored;
  if (Current->State == server_state::Gone)
    return lifecycle_change::Unchanged;
  Current->State = server_state::Gone;
  return lifecycle_change::Changed;
}

void server_lifecycle::onInstanceDenied(const std::string &Instance) {
  if (Current && Current->Instance == Instance)
    InstanceDenied = true;
}

} // namespace gentianlug::mesh
