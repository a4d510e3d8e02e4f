#include "gentianlug/rollout/rollout_controller.h"

#include "gentianlug/rollout/concurrency_estimator.h"
#include "gentianlug/rollout/pacing.h"
#include "gentianlug/rollout/sequential_evaluator.h"
#include "gentianlug/rollout/server_evidence_table.h"

#include <algorithm>
#include <deque>

namespace gentianlug::rollout {

using std::chrono::milliseconds;

/// Delay before the next operation after one without a response.
static constexpr milliseconds RetryDelay{500};

/// Write ids that are kept to recognize deliveries of known states.
static constexpr std::size_t MaxKnownWriteIds = 16;

static bool isTerminal(rollout_phase Phase) {
  return Phase == rollout_phase::Completed ||
         Phase == rollout_phase::RolledBack;
}

/// Returns the false alarm rate for controller number \p Number of a rollout,
/// counted from 1. The rates of all controllers add up to `FalseRollbackRate`.
static double falseAlarmFraction(std::uint32_t Number) {
  double Count = std::max<std::uint32_t>(1, Number);
  return FalseRollbackRate / (Count * (Count + 1));
}

struct rollout_controller::impl {
  controller_parameters Parameters;
  std::unique_ptr<version_evaluator> Evaluator;
  server_evidence_table Servers;
  concurrency_estimator Load;

  bool LeaseHeld = false;
  std::uint64_t Epoch = 0;

  bool OperationPending = false;
  bool MustRead = true;
  steady_time NextOperation{};
  std::optional<versioned_state> Current;
  std::optional<rollout_state> PendingWrite;
  std::deque<std::string> KnownWriteIds;

  /// Epoch in which the evaluation was started; 0 before that.
  std::uint64_t EvaluationEpoch = 0;
  verdict_kind LatestVerdict = verdict_kind::Undecided;
  /// Why the new servers must be quarantined; "" when they need not.
  std::string QuarantineReason;
  steady_time QuarantineStartedAt{};
  steady_time StepStartedAt{};
  std::uint64_t CallsSinceStep = 0;

  impl(controller_parameters Parameters,
       std::unique_ptr<version_evaluator> Evaluator)
      : Parameters(std::move(Parameters)), Evaluator(std::move(Evaluator)) {}

  bool isOwnRollout() const {
    return Current && Current->State.Id == Parameters.Rollout.id();
  }

  bool isFinished() const {
    return isOwnRollout() && isTerminal(Current->State.Phase);
  }

  bool ownsState() const {
    return isOwnRollout() && Current->State.Epoch == Epoch;
  }

  wall_time completionDeadline() const {
    return Parameters.Rollout.FinishBy - CompletionMargin - MaxWriteDuration;
  }

  void rememberWriteId(const std::string &WriteId) {
    KnownWriteIds.push_back(WriteId);
    if (KnownWriteIds.size() > MaxKnownWriteIds)
      KnownWriteIds.pop_front();
  }

  bool isKnownWriteId(const std::string &WriteId) const {
    return std::find(KnownWriteIds.begin(), KnownWriteIds.end(), WriteId) !=
           KnownWriteIds.end();
  }

  void applyState(clock_reading Now, std::optional<versioned_state> Observed) {
    double PreviousShare = Current ? Current->State.Share : -1;
    Current = std::move(Observed);
    if (!Current)
      return;
    if (!isKnownWriteId(Current->State.WriteId))
      rememberWriteId(Current->State.WriteId);
    if (Current->State.Share != PreviousShare) {
      StepStartedAt = Now.Steady;
      CallsSinceStep = 0;
    }
    if (ownsState() && EvaluationEpoch != Epoch)
      startEvaluation(Now);
  }

  void startEvaluation(clock_reading Now) {
    EvaluationEpoch = Epoch;
    LatestVerdict = verdict_kind::Undecided;
    auto TimeLeft = std::chrono::duration_cast<milliseconds>(
        Parameters.Rollout.FinishBy - Now.Wall);
    Evaluator->start({Parameters.Routes,
                      falseAlarmFraction(Current->State.ControllerCount),
                      std::max(TimeLeft, EvaluationPeriod)});
  }

  void onEvidence(steady_time Now, const server_evidence &Evidence) {
    bool IsNew = Evidence.Version == Parameters.Rollout.Version;
    if (Evidence.Service != Parameters.Rollout.Service ||
        (!IsNew && Evidence.Version != Parameters.OldVersion) ||
        !Servers.accept(Now, Evidence))
      return;
    Load.add(Evidence);
    if (IsNew)
      for (const route_evidence &Route : Evidence.Routes)
        CallsSinceStep += Route.Calls;
    if (IsNew && Evidence.Quarantined)
      quarantine(Now, "node " + Evidence.Node.str() + " cut its server off");
    if (EvaluationEpoch != 0)
      Evaluator->add(IsNew ? version_role::New : version_role::Old, Evidence);
  }

  void quarantine(steady_time Now, const std::string &Reason) {
    if (!QuarantineReason.empty())
      return;
    QuarantineReason = Reason;
    QuarantineStartedAt = Now;
  }

  bool isQuarantineDue(steady_time Now) const {
    double Share = Current ? Current->State.Share : 0;
    return Share <= MaxImmediateQuarantineShare ||
           Now - QuarantineStartedAt >= QuarantineDelay;
  }

  void evaluate(steady_time Now) {
    Load.endPeriod();
    if (EvaluationEpoch == 0)
      return;
    verdict Verdict = Evaluator->evaluate();
    LatestVerdict = Verdict.Kind;
    if (LatestVerdict == verdict_kind::Fail)
      quarantine(Now, Verdict.Reason);
  }

  /// Returns the next state of the rollout, which equals the current one when
  /// nothing changes.
  rollout_state nextState(clock_reading Now) const {
    const rollout_state &State = Current->State;
    if (!QuarantineReason.empty())
      return rolledBackState(QuarantineReason);
    if (Now.Wall >= completionDeadline())
      return rolledBackState(deadlineReason());
    bool HasServers = Servers.hasServer(Parameters.Rollout.Version, Now.Steady);
    if (State.Phase == rollout_phase::Paused || !HasServers)
      return State;
    rollout_step Step = nextStep(stepInput(Now));
    if (Step.Kind == step_kind::Hold)
      return State;
    rollout_state Next = State;
    Next.Phase = Step.Kind == step_kind::Complete ? rollout_phase::Completed
                                                  : rollout_phase::Progressing;
    Next.Share = Step.Share;
    Next.NonIdempotentShare = nonIdempotentShare(Step.Share);
    return Next;
  }

  step_input stepInput(clock_reading Now) const {
    step_input Input;
    Input.Share = Current->State.Share;
    Input.InitialShare =
        Parameters.Rollout.MaxShareBeforeVerdict * InitialShareMargin;
    Input.TimeSinceStep =
        std::chrono::duration_cast<milliseconds>(Now.Steady - StepStartedAt);
    Input.TimeLeft = std::chrono::duration_cast<milliseconds>(
        completionDeadline() - Now.Wall);
    Input.Verdict = LatestVerdict;
    Input.CallsSinceStep = CallsSinceStep;
    Input.ConcurrencyLimit =
        Servers.concurrencyLimit(Parameters.Rollout.Version, Now.Steady);
    Input.ConcurrentCalls = Load.concurrentCalls();
    Input.FixedStepDuration = Parameters.FixedStepDuration;
    return Input;
  }

  rollout_state rolledBackState(const std::string &Reason) const {
    rollout_state Next = Current->State;
    Next.Phase = rollout_phase::RolledBack;
    Next.Share = 0;
    Next.NonIdempotentShare = 0;
    Next.Reason = Reason;
    return Next;
  }

  std::string deadlineReason() const {
    switch (Current->State.Phase) {
    case rollout_phase::Waiting:
      return "no server of the new version came up by the finish time";
    case rollout_phase::Paused:
      return "paused at the finish time";
    default:
      return "not finished by the finish time";
    }
  }

  /// Returns the state whose write sets the epoch of this controller and
  /// fences off earlier controllers.
  rollout_state takeoverState() const {
    rollout_state Next;
    if (isOwnRollout()) {
      Next = Current->State;
    } else {
      Next.Id = Parameters.Rollout.id();
      Next.Service = Parameters.Rollout.Service;
      Next.Version = Parameters.Rollout.Version;
      Next.FinishBy = Parameters.Rollout.FinishBy;
    }
    Next.Epoch = Epoch;
    Next.ControllerAddress = Parameters.ControlAddress;
    Next.ConfigVersion = Parameters.ConfigVersion;
    ++Next.ControllerCount;
    return Next;
  }

  controller_action write(rollout_state Next, generator &Gen) {
    Next.WriteId = drawHexId(Gen);
    rememberWriteId(Next.WriteId);
    OperationPending = true;
    PendingWrite = Next;
    return {controller_operation::Write, std::move(Next),
            Current ? Current->Revision : 0};
  }

  controller_action nextAction(clock_reading Now, generator &Gen) {
    if (OperationPending || !LeaseHeld || Now.Steady < NextOperation)
      return {};
    if (MustRead) {
      OperationPending = true;
      return {controller_operation::Read, {}, 0};
    }
    // The state of a later controller or of a newer configuration must not be
    // overwritten.
    if (isFinished() ||
        (Current && (Current->State.Epoch > Epoch ||
                     Current->State.ConfigVersion > Parameters.ConfigVersion)))
      return {};
    if (!ownsState())
      return write(takeoverState(), Gen);
    rollout_state Next = nextState(Now);
    if (Next == Current->State)
      return {};
    return write(std::move(Next), Gen);
  }
};

rollout_controller::rollout_controller(
    controller_parameters Parameters,
    std::unique_ptr<version_evaluator> Evaluator)
    : Impl(std::make_unique<impl>(std::move(Parameters),
                                  std::move(Evaluator))) {}
rollout_controller::~rollout_controller() = default;

void rollout_controller::onLeaseChanged(bool LeaseHeld, std::uint64_t Epoch) {
  // Another node may have written since this node last held the lease.
  if (LeaseHeld && (!Impl->LeaseHeld || Epoch != Impl->Epoch))
    Impl->MustRead = true;
  Impl->LeaseHeld = LeaseHeld;
  if (LeaseHeld)
    Impl->Epoch = Epoch;
}

void rollout_controller::onConfigurationChanged(config_version Version) {
  Impl->Parameters.ConfigVersion = Version;
}

void rollout_controller::onEvidence(steady_time Now,
                                    const server_evidence &Evidence) {
  Impl->onEvidence(Now, Evidence);
}

void rollout_controller::onStateDelivered(const rollout_state &State) {
  if (State.Id == Impl->Parameters.Rollout.id() &&
      !Impl->isKnownWriteId(State.WriteId))
    Impl->MustRead = true;
}

void rollout_controller::evaluate(clock_reading Now) {
  Impl->evaluate(Now.Steady);
}

controller_action rollout_controller::nextAction(clock_reading Now,
                                                 generator &Gen) {
  return Impl->nextAction(Now, Gen);
}

void rollout_controller::onStateRead(
    clock_reading Now, const std::optional<versioned_state> &Observed) {
  Impl->OperationPending = false;
  Impl->MustRead = false;
  // A lost response needs no other handling: the write id of the state that was
  // read shows whether the write took effect, and the next action starts from
  // that state.
  Impl->PendingWrite.reset();
  Impl->applyState(Now, Observed);
}

void rollout_controller::onWriteSucceeded(clock_reading Now,
                                          object_revision Revision) {
  Impl->OperationPending = false;
  rollout_state Written = std::move(*Impl->PendingWrite);
  Impl->PendingWrite.reset();
  Impl->applyState(Now, versioned_state{std::move(Written), Revision});
}

void rollout_controller::onWriteConflict(clock_reading) {
  Impl->OperationPending = false;
  Impl->MustRead = true;
}

void rollout_controller::onNoResponse(clock_reading Now) {
  Impl->OperationPending = false;
  Impl->MustRead = true;
  Impl->NextOperation = Now.Steady + RetryDelay;
}

double rollout_controller::oldErrorRate() const {
  return Impl->Evaluator->oldErrorRate();
}

bool rollout_controller::isFinished() const { return Impl->isFinished(); }

std::string rollout_controller::quarantineReason(steady_time Now) const {
  return Impl->isQuarantineDue(Now) ? Impl->QuarantineReason : "";
}

const rollout_state *rollout_controller::state() const {
  return Impl->Current ? &Impl->Current->State : nullptr;
}

} // namespace gentianlug::rollout
