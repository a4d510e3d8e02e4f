#include "decision_writer.h"

#include "gentianlug/core/weak_callback.h"
#include "gentianlug/mesh/version_checks.h"

#include <utility>

namespace gentianlug::gateway {

using observe::event;

/// Time for which the store may differ from the decision of a rollout before it
/// is corrected. The rollout and the base version arrive one after the other.
static constexpr std::chrono::milliseconds CorrectionDelay{1000};

decision_writer::decision_writer(const task_context &Context, node_id Node,
                                 mesh_store &Store,
                                 const decision_sources &Sources)
    : Context(Context), Node(std::move(Node)), Store(Store), Sources(Sources),
      CorrectionTimer(Context.Loop, [this] { correct(); }) {}

void decision_writer::setCurrent(bool Next) {
  Current = Next;
  check();
}

void decision_writer::check() {
  const auto &Server = Sources.Lifecycle.current();
  if (!Current || !Server || WritePending)
    return;
  if (!Sources.Versions.baseVersion(Server->Service))
    return proposeBaseVersion(*Server);
  if (mustCorrect(Server->Service) && !std::exchange(CorrectionDue, true))
    CorrectionTimer.startOnce(CorrectionDelay);
}

void decision_writer::proposeBaseVersion(
    const mesh::server_announcement &Server) {
  const mesh::rollout_record *Rollout =
      Sources.Versions.rollout(Server.Service);
  if (!Rollout || Rollout->TargetVersion != Server.Version)
    writeBaseVersion(Server.Service, {Server.Version, {}});
}

bool decision_writer::isRolloutLost(const service_name &Service) const {
  // Until a rollout is finished, its controller writes.
  return Sources.Versions.isStoredRolloutOutdated(Service) &&
         mesh::isFinished(*Sources.Versions.rollout(Service));
}

bool decision_writer::mustCorrect(const service_name &Service) const {
  const mesh::version_policy &Versions = Sources.Versions;
  return (isRolloutLost(Service) ||
          Versions.isStoredBaseVersionOutdated(Service)) &&
         mesh::selectBaseVersionWriter(Sources.Servers, Service,
                                       *Versions.baseVersion(Service)) == Node;
}

void decision_writer::correct() {
  CorrectionDue = false;
  const auto &Server = Sources.Lifecycle.current();
  if (!Current || !Server || WritePending || !mustCorrect(Server->Service))
    return;
  const service_name &Service = Server->Service;
  if (isRolloutLost(Service))
    return restoreRollout(Service);
  const mesh::version_policy &Versions = Sources.Versions;
  const mesh::base_version *Stored = Versions.storedBaseVersion(Service);
  writeBaseVersion(Service, {*Versions.baseVersion(Service),
                             Stored ? Stored->Revision : store_revision{}});
}

void decision_writer::restoreRollout(const service_name &Service) {
  mesh::rollout_record Record = *Sources.Versions.rollout(Service);
  Record.Revision = Sources.Versions.storedRollout(Service)->Revision;
  WritePending = true;
  Store.writeRollout(
      Record, bindWeakly(shared_from_this(), [Record](decision_writer &Self,
                                                      bool Written) {
        Self.Context.Log.write(event::RolloutStoredAgain,
                               {{"service", Record.Service.str()},
                                {"version", Record.TargetVersion.str()},
                                {"stage", std::int64_t(Record.Stage)},
                                {"written", Written ? 1 : 0}});
        Self.onWritten();
      }));
}

void decision_writer::writeBaseVersion(const service_name &Service,
                                       const mesh::base_version &Next) {
  WritePending = true;
  Store.publishBaseVersion(
      Service, Next,
      bindWeakly(shared_from_this(),
                 [](decision_writer &Self, bool) { Self.onWritten(); }));
}

void decision_writer::onWritten() {
  WritePending = false;
  const auto &Server = Sources.Lifecycle.current();
  // A first base version that was not stored is proposed after the next change.
  if (Server && Sources.Versions.baseVersion(Server->Service))
    check();
}

} // namespace gentianlug::gateway
