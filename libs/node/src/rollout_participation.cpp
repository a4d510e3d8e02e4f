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
    rollout_session::context Context, rollout::controller_task Task,
    const wire::server_announcement &Server,
    std::unique_ptr<rollout::verdict_policy> Verdict, outputs Outputs)
    : Context(Context), Task(Task), Server(Server), Outputs(std::move(Outputs)),
      Session(Context, std::move(Task), std::move(Verdict)),
      Sequence(firstSequence(Context.Clock.wallNow())) {
  Candidacy.start(Context.Clock.steadyNow(), Context.Gen);
  Guard.start(1);
}

rollout_participation::~rollout_participation() {
  if (!CutReason.empty())
    Outputs.Cut({Task.Rollout.Version, Task.Rollout.id(), false});
}

bool rollout_participation::matches(
    const rollout::controller_task &Other,
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
  setController(State.Controller, State.Epoch);
  Session.onDelivered(State);
}

void rollout_participation::setController(const address &Node,
                                          std::uint64_t Epoch) {
  if (Epoch < ControllerEpoch)
    return;
  Controller = Node;
  ControllerEpoch = Epoch;
}

void rollout_participation::onNotice(const rollout::steering_notice &Notice) {
  if (Notice.RolloutId != Task.Rollout.id() ||
      !Candidacy.onNotice(Context.Clock.steadyNow(), Notice, Context.Gen))
    return;
  setController(Notice.Controller, Notice.Epoch);
  Guard.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.CutReason.empty())
    cut(Notice.CutReason);
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
  Allowance = Evidence.Allowance;
  FullAllowance = Evidence.FullAllowance;
  LastEvidence = Context.Clock.steadyNow();
  bool IsNew = Evidence.Version == Task.Rollout.Version;
  if (IsNew && Guard.add(Evidence))
    cut(std::to_string(Guard.runLength()) + " errors in a row");
  Evidence.Cut = IsNew && !CutReason.empty();
  if (steers())
    Session.onEvidence(Evidence);
  else if (Controller.Port != 0 && Controller != Task.Control)
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
  Evidence.Allowance = Allowance;
  Evidence.FullAllowance = FullAllowance;
  onLocalEvidence(std::move(Evidence));
}

void rollout_participation::cut(const std::string &Reason) {
  if (!CutReason.empty() || Server.Version != Task.Rollout.Version)
    return;
  CutReason = Reason;
  logEvent(event::VersionCut, Task.Rollout.id() + ": " + Reason);
  Outputs.Cut({Task.Rollout.Version, Task.Rollout.id(), true});
}

void rollout_participation::tick() {
  Session.tick(!isDecided() && Candidacy.contends(Context.Clock.steadyNow()));
  sendHeartbeat();
  if (steers())
    sendNotice();
}

void rollout_participation::sendNotice() {
  steady_time Now = Context.Clock.steadyNow();
  rollout::steering_notice Notice = Session.notice();
  Guard.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.CutReason.empty())
    cut(Notice.CutReason);
  // A cut is told at once, then with each notice.
  if (Now < NextNotice && Notice.CutReason == NotedCut)
    return;
  NextNotice = Now + rollout::NoticePeriod;
  NotedCut = Notice.CutReason;
  Outputs.Notice(Notice);
}

bool rollout_participation::release() {
  Session.release();
  return Session.busy();
}

const rollout::rollout_state *rollout_participation::state() const {
  if (steers() && Session.state())
    return Session.state();
  return Delivered ? &*Delivered : nullptr;
}

bool rollout_participation::isDecided() const {
  const rollout::rollout_state *State = state();
  return State && State->Id == Task.Rollout.id() &&
         (State->Phase == rollout_phase::Done ||
          State->Phase == rollout_phase::TakenBack);
}

} // namespace gentianlug::node
