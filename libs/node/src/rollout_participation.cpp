#include "rollout_participation.h"

#include "gentianlug/observe/log.h"

#include <algorithm>

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using rollout::rollout_phase;

/// Maximum time without evidence of a server that accepts calls.
static constexpr std::chrono::milliseconds HeartbeatPeriod{1000};

/// Returns the first sequence number, which is higher than those of previous
/// incarnations of the node: it is a time in milliseconds, and a node sends at
/// most four reports per second.
static std::uint64_t firstSequence(wall_time Now) {
  return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now.time_since_epoch())
                           .count());
}

rollout_participation::rollout_participation(
    rollout_session::context Context, rollout::controller_parameters Parameters,
    const wire::server_announcement &Server,
    std::unique_ptr<rollout::version_evaluator> Evaluator, outputs Outputs)
    : Context(Context), Parameters(Parameters), Server(Server),
      Outputs(std::move(Outputs)),
      Session(Context, std::move(Parameters), std::move(Evaluator)),
      Sequence(firstSequence(Context.Clock.wallNow())) {
  Candidate.start(Context.Clock.steadyNow(), Context.Gen);
  ErrorDetector.start(1);
}

rollout_participation::~rollout_participation() {
  if (!QuarantineReason.empty())
    Outputs.Quarantine(
        {Parameters.Rollout.Version, Parameters.Rollout.id(), false});
}

bool rollout_participation::matches(
    const rollout::controller_parameters &Other,
    const wire::server_announcement &OtherServer) const {
  return Other.Rollout == Parameters.Rollout &&
         Other.OldVersion == Parameters.OldVersion &&
         Other.Routes == Parameters.Routes &&
         OtherServer.Version == Server.Version;
}

void rollout_participation::onConfigurationChanged(config_version Version) {
  Session.onConfigurationChanged(Version);
}

void rollout_participation::onStateDelivered(
    const rollout::rollout_state &State) {
  if (State.Id != Parameters.Rollout.id())
    return;
  DeliveredState = State;
  // The state also names the controller to nodes that receive no notices
  // because the controller does not know them as members yet.
  setController(State.ControllerAddress, State.Epoch);
  Session.onStateDelivered(State);
}

void rollout_participation::setController(const address &Node,
                                          std::uint64_t Epoch) {
  if (Epoch < ControllerEpoch)
    return;
  ControllerAddress = Node;
  ControllerEpoch = Epoch;
}

void rollout_participation::onNotice(const rollout::controller_notice &Notice) {
  if (Notice.RolloutId != Parameters.Rollout.id() ||
      !Candidate.onNotice(Context.Clock.steadyNow(), Notice, Context.Gen))
    return;
  setController(Notice.ControllerAddress, Notice.Epoch);
  ErrorDetector.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.QuarantineReason.empty())
    quarantine(Notice.QuarantineReason);
}

void rollout_participation::onRemoteEvidence(
    const rollout::server_evidence &Evidence) {
  Session.onEvidence(Evidence);
}

void rollout_participation::onLocalEvidence(rollout::server_evidence Evidence) {
  if (Evidence.Service != Parameters.Rollout.Service || isDecided())
    return;
  Evidence.Node = Context.Node;
  Evidence.Sequence = ++Sequence;
  Server.Incarnation = std::max(Server.Incarnation, Evidence.ServerIncarnation);
  ConcurrencyLimit = Evidence.ConcurrencyLimit;
  WarmConcurrencyLimit = Evidence.WarmConcurrencyLimit;
  LastEvidence = Context.Clock.steadyNow();
  bool IsNew = Evidence.Version == Parameters.Rollout.Version;
  if (IsNew && ErrorDetector.add(Evidence))
    quarantine(std::to_string(ErrorDetector.errorThreshold()) +
               " errors in a row");
  Evidence.Quarantined = IsNew && !QuarantineReason.empty();
  if (isController())
    Session.onEvidence(Evidence);
  else if (ControllerAddress.Port != 0 &&
           ControllerAddress != Parameters.ControlAddress)
    Outputs.Evidence(ControllerAddress, Evidence);
}

void rollout_participation::sendHeartbeat() {
  if (!ServerPresent ||
      Context.Clock.steadyNow() - LastEvidence < HeartbeatPeriod)
    return;
  rollout::server_evidence Evidence;
  Evidence.Service = Server.Service;
  Evidence.Version = Server.Version;
  Evidence.ServerIncarnation = Server.Incarnation;
  Evidence.ConcurrencyLimit = ConcurrencyLimit;
  Evidence.WarmConcurrencyLimit = WarmConcurrencyLimit;
  onLocalEvidence(std::move(Evidence));
}

void rollout_participation::quarantine(const std::string &Reason) {
  if (!QuarantineReason.empty() || Server.Version != Parameters.Rollout.Version)
    return;
  QuarantineReason = Reason;
  logEvent(event::VersionCut, Parameters.Rollout.id() + ": " + Reason);
  Outputs.Quarantine(
      {Parameters.Rollout.Version, Parameters.Rollout.id(), true});
}

void rollout_participation::tick() {
  Session.tick(!isDecided() &&
               Candidate.shouldContend(Context.Clock.steadyNow()));
  sendHeartbeat();
  if (isController())
    sendNotice();
}

void rollout_participation::sendNotice() {
  steady_time Now = Context.Clock.steadyNow();
  rollout::controller_notice Notice = Session.notice();
  ErrorDetector.setOldErrorRate(Notice.OldErrorRate);
  if (!Notice.QuarantineReason.empty())
    quarantine(Notice.QuarantineReason);
  // A new quarantine is announced immediately, and then with every notice.
  if (Now < NextNotice && Notice.QuarantineReason == NotifiedQuarantine)
    return;
  NextNotice = Now + rollout::NoticePeriod;
  NotifiedQuarantine = Notice.QuarantineReason;
  Outputs.Notice(Notice);
}

bool rollout_participation::release() {
  Session.release();
  return Session.isBusy();
}

const rollout::rollout_state *rollout_participation::state() const {
  if (isController() && Session.state())
    return Session.state();
  return DeliveredState ? &*DeliveredState : nullptr;
}

bool rollout_participation::isDecided() const {
  const rollout::rollout_state *State = state();
  return State && State->Id == Parameters.Rollout.id() &&
         (State->Phase == rollout_phase::Completed ||
          State->Phase == rollout_phase::RolledBack);
}

} // namespace gentianlug::node
