#include "rollout_participation.h"

#include "gentianlug/observe/log.h"

#include <algorithm>

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using rollout::rollout_phase;

/// Longest time without evidence of a present server.
static constexpr std::chrono::milliseconds HeartbeatPeriod{1000};

/// Returns a first sequence number above those of earlier lives of the node,
/// which sent at most four reports a second.
static std::uint64_t firstSequence(wall_time Now) {
  return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now.time_since_epoch())
                           .count());
}

rollout_participation::rollout_participation(
    rollout_session::context Context, rollout::controller_parameters Task,
    const wire::server_announcement &Server,
    std::unique_ptr<rollout::version_evaluator> Verdict, outputs Outputs)
    : Context(Context), Task(Task), Server(Server), Outputs(std::move(Outputs)),
      Session(Context, std::move(Task), std::move(Verdict)),
      Sequence(firstSequence(Context.Clock.wallNow())) {
  Candidacy.start(Context.Clock.steadyNow(), Context.Gen);
  Guard.start(1);
}

rollout_participation::~rollout_participation() {
  if (!QuarantineReason.empty())
    Outputs.Quarantine({Task.Rollout.Version, Task.Rollout.id(), false});
}

bool rollout_participation::matches(
    const rollout::controller_parameters &Other,
    const wire::server_announcement &OtherServer) const {
  return Other.Rollout == Task.Rollout && Other.OldVersion == Task.OldVersion &&
         Other.Routes == Task.Routes && OtherServer.Version == Server.Version;
}

void rollout_participation::onConfiguration(config_version Version) {
  Session.onConfiguration(Version);
}

void rollout_participation::onDelivered(const rollout::rollout_state &State) {
  if (State.Id != Task.Rollout.id())
    return;
  Delivered = State;
  // Notices miss a node that the controller does not know as a member yet.
  setController(State.ControllerAddress, State.Epoch);
  Session.onDelivered(State);
}

void rollout_participation::setController(const address &Node,
                                          std::uint64_t Epoch) {
  if (Epoch < ControllerEpoch)
    return;
  Controller = Node;
  ControllerEpoch = Epoch;
}

void rollout_participation::onNotice(const rollout::controller_notice &Notice) {
  if (Notice.RolloutId != Task.Rollout.id() ||
      !Candidacy.onNotice(Context.Clock.steadyNow(), Notice, Context.Gen))
    return;
  setController(Notice.ControllerAddress, Notice.Epoch);
  Guard.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.QuarantineReason.empty())
    quarantine(Notice.QuarantineReason);
}

void rollout_participation::onRemoteEvidence(
    const rollout::server_evidence &Evidence) {
  Session.onEvidence(Evidence);
}

void rollout_participation::onLocalEvidence(rollout::server_evidence Evidence) {
  if (Evidence.Service != Task.Rollout.Service || isDecided())
    return;
  Evidence.Node = Context.Node;
  Evidence.Sequence = ++Sequence;
  Server.Incarnation = std::max(Server.Incarnation, Evidence.ServerIncarnation);
  Allowance = Evidence.ConcurrencyLimit;
  FullAllowance = Evidence.WarmConcurrencyLimit;
  LastEvidence = Context.Clock.steadyNow();
  bool IsNew = Evidence.Version == Task.Rollout.Version;
  if (IsNew && Guard.add(Evidence))
    quarantine(std::to_string(Guard.errorThreshold()) + " errors in a row");
  Evidence.Quarantined = IsNew && !QuarantineReason.empty();
  if (isController())
    Session.onEvidence(Evidence);
  else if (Controller.Port != 0 && Controller != Task.ControlAddress)
    Outputs.Evidence(Controller, Evidence);
}

void rollout_participation::sendHeartbeat() {
  if (!ServerPresent ||
      Context.Clock.steadyNow() - LastEvidence < HeartbeatPeriod)
    return;
  rollout::server_evidence Evidence;
  Evidence.Service = Server.Service;
  Evidence.Version = Server.Version;
  Evidence.ServerIncarnation = Server.Incarnation;
  Evidence.ConcurrencyLimit = Allowance;
  Evidence.WarmConcurrencyLimit = FullAllowance;
  onLocalEvidence(std::move(Evidence));
}

void rollout_participation::quarantine(const std::string &Reason) {
  if (!QuarantineReason.empty() || Server.Version != Task.Rollout.Version)
    return;
  QuarantineReason = Reason;
  logEvent(event::VersionCut, Task.Rollout.id() + ": " + Reason);
  Outputs.Quarantine({Task.Rollout.Version, Task.Rollout.id(), true});
}

void rollout_participation::tick() {
  Session.tick(!isDecided() &&
               Candidacy.shouldContend(Context.Clock.steadyNow()));
  sendHeartbeat();
  if (isController())
    sendNotice();
}

void rollout_participation::sendNotice() {
  steady_time Now = Context.Clock.steadyNow();
  rollout::controller_notice Notice = Session.notice();
  Guard.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.QuarantineReason.empty())
    quarantine(Notice.QuarantineReason);
  // A cut is told at once, then with each notice.
  if (Now < NextNotice && Notice.QuarantineReason == NotifiedQuarantine)
    return;
  NextNotice = Now + rollout::NoticePeriod;
  NotifiedQuarantine = Notice.QuarantineReason;
  Outputs.Notice(Notice);
}

bool rollout_participation::release() {
  Session.release();
  return Session.busy();
}

const rollout::rollout_state *rollout_participation::state() const {
  if (isController() && Session.state())
    return Session.state();
  return Delivered ? &*Delivered : nullptr;
}

bool rollout_participation::isDecided() const {
  const rollout::rollout_state *State = state();
  return State && State->Id == Task.Rollout.id() &&
         (State->Phase == rollout_phase::Completed ||
          State->Phase == rollout_phase::RolledBack);
}

} // namespace gentianlug::node
