#include "gentianlug/rollout/rollout_controller.h"

#include "gentianlug/rollout/load_estimate.h"
#include "gentianlug/rollout/pacing.h"
#include "gentianlug/rollout/sequential_verdict.h"
#include "gentianlug/rollout/server_table.h"

#include <algorithm>
#include <deque>

namespace gentianlug::rollout {

using std::chrono::milliseconds;

/// Delay after an operation without an answer.
static constexpr milliseconds RetryDelay{500};

/// Write ids that are kept to recognise deliveries of known states.
static constexpr std::size_t MaxKnownWrites = 16;

static bool isDecided(rollout_phase Phase) {
  return Phase == rollout_phase::Done || Phase == rollout_phase::TakenBack;
}

/// Returns the part of the false alarm rate for the verdict of the \p Nth
/// controller of a rollout; the parts sum up to the whole.
static double falseAlarmPart(std::uint32_t Nth) {
  double Count = std::max<std::uint32_t>(1, Nth);
  return FalseTakeBackRate / (Count * (Count + 1));
}

struct rollout_controller::impl {
  controller_task Task;
  std::unique_ptr<verdict_policy> Verdict;
  server_table Servers;
  load_estimate Load;

  bool Held = false;
  std::uint64_t Epoch = 0;

  bool Busy = false;
  bool MustRead = true;
  steady_time NextOperation{};
  std::optional<observed_state> Current;
  std::optional<rollout_state> Pending;
  std::deque<std::string> KnownWrites;

  /// Epoch under which the verdict was started; 0 before that.
  std::uint64_t JudgedEpoch = 0;
  verdict_kind Kind = verdict_kind::Undecided;
  /// Why the new version is bad, and since when; "" while it is not.
  std::string Cut;
  steady_time CutSince{};
  steady_time StepStart{};
  std::uint64_t CallsSinceStep = 0;

  impl(controller_task Task, std::unique_ptr<verdict_policy> Verdict)
      : Task(std::move(Task)), Verdict(std::move(Verdict)) {}

  bool isOwnRollout() const {
    return Current && Current->State.Id == Task.Rollout.id();
  }

  bool decided() const {
    return isOwnRollout() && isDecided(Current->State.Phase);
  }

  bool steers() const {
    return isOwnRollout() && Current->State.Epoch == Epoch;
  }

  wall_time doneDeadline() const {
    return Task.Rollout.FinishBy - DoneMargin - LongestWrite;
  }

  void remember(const std::string &WriteId) {
    KnownWrites.push_back(WriteId);
    if (KnownWrites.size() > MaxKnownWrites)
      KnownWrites.pop_front();
  }

  bool knows(const std::string &WriteId) const {
    return std::find(KnownWrites.begin(), KnownWrites.end(), WriteId) !=
           KnownWrites.end();
  }

  void adopt(moment Now, std::optional<observed_state> Observed) {
    double Before = Current ? Current->State.Share : -1;
    Current = std::move(Observed);
    if (!Current)
      return;
    if (!knows(Current->State.WriteId))
      remember(Current->State.WriteId);
    if (Current->State.Share != Before) {
      StepStart = Now.Steady;
      CallsSinceStep = 0;
    }
    if (steers() && JudgedEpoch != Epoch)
      startVerdict(Now);
  }

  void startVerdict(moment Now) {
    JudgedEpoch = Epoch;
    Kind = verdict_kind::Undecided;
    auto Left = std::chrono::duration_cast<milliseconds>(Task.Rollout.FinishBy -
                                                         Now.Wall);
    Verdict->start({Task.Routes, falseAlarmPart(Current->State.Controllers),
                    std::max(Left, JudgementPeriod)});
  }

  void onEvidence(steady_time Now, const server_evidence &Evidence) {
    bool IsNew = Evidence.Version == Task.Rollout.Version;
    if (Evidence.Service != Task.Rollout.Service ||
        (!IsNew && Evidence.Version != Task.OldVersion) ||
        !Servers.accept(Now, Evidence))
      return;
    Load.add(Evidence);
    if (IsNew)
      for (const route_evidence &Route : Evidence.Routes)
        CallsSinceStep += Route.Calls;
    if (IsNew && Evidence.Cut)
      cut(Now, "node " + Evidence.Node.str() + " cut its server off");
    if (JudgedEpoch != 0)
      Verdict->add(IsNew ? rollout_side::New : rollout_side::Old, Evidence);
  }

  void cut(steady_time Now, const std::string &Reason) {
    if (!Cut.empty())
      return;
    Cut = Reason;
    CutSince = Now;
  }

  bool cutsDirectly(steady_time Now) const {
    double Share = Current ? Current->State.Share : 0;
    return Share <= LargestDirectCut || Now - CutSince >= CutDelay;
  }

  void judge(steady_time Now) {
    Load.closePeriod();
    if (JudgedEpoch == 0)
      return;
    verdict Judged = Verdict->judge();
    Kind = Judged.Kind;
    if (Kind == verdict_kind::Bad)
      cut(Now, Judged.Reason);
  }

  /// Returns the state that this rollout shall have next; the current one when
  /// nothing changes.
  rollout_state plan(moment Now) const {
    const rollout_state &State = Current->State;
    if (!Cut.empty())
      return takenBack(Cut);
    if (Now.Wall >= doneDeadline())
      return takenBack(lateReason());
    bool HasServers = Servers.anyOf(Task.Rollout.Version, Now.Steady);
    if (State.Phase == rollout_phase::Paused || !HasServers)
      return State;
    pace Pace = nextPace(paceInput(Now));
    if (Pace.Step == pace_step::Hold)
      return State;
    rollout_state Next = State;
    Next.Phase = Pace.Step == pace_step::Finish ? rollout_phase::Done
                                                : rollout_phase::Growing;
    Next.Share = Pace.Share;
    Next.NonIdempotentShare = nonIdempotentShare(Pace.Share);
    return Next;
  }

  pace_input paceInput(moment Now) const {
    pace_input Input;
    Input.Share = Current->State.Share;
    Input.FirstShare = Task.Rollout.MaxShareBeforeVerdict * FirstShareMargin;
    Input.SinceStep =
        std::chrono::duration_cast<milliseconds>(Now.Steady - StepStart);
    Input.TimeLeft =
        std::chrono::duration_cast<milliseconds>(doneDeadline() - Now.Wall);
    Input.Verdict = Kind;
    Input.CallsSinceStep = CallsSinceStep;
    Input.Allowance = Servers.allowance(Task.Rollout.Version, Now.Steady);
    Input.CallsAtATime = Load.callsAtATime();
    Input.FixedStep = Task.FixedStep;
    return Input;
  }

  rollout_state takenBack(const std::string &Reason) const {
    rollout_state Next = Current->State;
    Next.Phase = rollout_phase::TakenBack;
    Next.Share = 0;
    Next.NonIdempotentShare = 0;
    Next.Reason = Reason;
    return Next;
  }

  std::string lateReason() const {
    switch (Current->State.Phase) {
    case rollout_phase::Waiting:
      return "no server of the new version came up by the finish time";
    case rollout_phase::Paused:
      return "paused at the finish time";
    default:
      return "not finished by the finish time";
    }
  }

  /// Returns the state with which this controller takes over.
  rollout_state fenced() const {
    rollout_state Next;
    if (isOwnRollout()) {
      Next = Current->State;
    } else {
      Next.Id = Task.Rollout.id();
      Next.Service = Task.Rollout.Service;
      Next.Version = Task.Rollout.Version;
      Next.FinishBy = Task.Rollout.FinishBy;
    }
    Next.Epoch = Epoch;
    Next.Controller = Task.Control;
    Next.ConfigVersion = Task.ConfigVersion;
    ++Next.Controllers;
    return Next;
  }

  controller_action write(rollout_state Next, generator &Gen) {
    Next.WriteId = drawHexId(Gen);
    remember(Next.WriteId);
    Busy = true;
    Pending = Next;
    return {controller_operation::Write, std::move(Next),
            Current ? Current->Revision : 0};
  }

  controller_action next(moment Now, generator &Gen) {
    if (Busy || !Held || Now.Steady < NextOperation)
      return {};
    if (MustRead) {
      Busy = true;
      return {controller_operation::Read, {}, 0};
    }
    // The state of a later controller or of a newer configuration stands.
    if (decided() ||
        (Current && (Current->State.Epoch > Epoch ||
                     Current->State.ConfigVersion > Task.ConfigVersion)))
      return {};
    if (!steers())
      return write(fenced(), Gen);
    rollout_state Next = plan(Now);
    if (Next == Current->State)
      return {};
    return write(std::move(Next), Gen);
  }
};

rollout_controller::rollout_controller(controller_task Task,
                                       std::unique_ptr<verdict_policy> Verdict)
    : Impl(std::make_unique<impl>(std::move(Task), std::move(Verdict))) {}
rollout_controller::~rollout_controller() = default;

void rollout_controller::onLease(bool Held, std::uint64_t Epoch) {
  // Somebody else may have written since the lease was held last.
  if (Held && (!Impl->Held || Epoch != Impl->Epoch))
    Impl->MustRead = true;
  Impl->Held = Held;
  if (Held)
    Impl->Epoch = Epoch;
}

void rollout_controller::onConfiguration(config_version Version) {
  Impl->Task.ConfigVersion = Version;
}

void rollout_controller::onEvidence(steady_time Now,
                                    const server_evidence &Evidence) {
  Impl->onEvidence(Now, Evidence);
}

void rollout_controller::onDelivered(const rollout_state &State) {
  if (State.Id == Impl->Task.Rollout.id() && !Impl->knows(State.WriteId))
    Impl->MustRead = true;
}

void rollout_controller::judge(moment Now) { Impl->judge(Now.Steady); }

controller_action rollout_controller::next(moment Now, generator &Gen) {
  return Impl->next(Now, Gen);
}

void rollout_controller::onRead(moment Now,
                                const std::optional<observed_state> &Observed) {
  Impl->Busy = false;
  Impl->MustRead = false;
  // A lost answer needs no further care: the state that was read tells by its
  // write id whether the write took effect, and the next plan starts from it.
  Impl->Pending.reset();
  Impl->adopt(Now, Observed);
}

void rollout_controller::onWritten(moment Now, object_revision Revision) {
  Impl->Busy = false;
  rollout_state Written = std::move(*Impl->Pending);
  Impl->Pending.reset();
  Impl->adopt(Now, observed_state{std::move(Written), Revision});
}

void rollout_controller::onConflict(moment) {
  Impl->Busy = false;
  Impl->MustRead = true;
}

void rollout_controller::onNoAnswer(moment Now) {
  Impl->Busy = false;
  Impl->MustRead = true;
  Impl->NextOperation = Now.Steady + RetryDelay;
}

double rollout_controller::oldErrorRate() const {
  return Impl->Verdict->oldErrorRate();
}

bool rollout_controller::decided() const { return Impl->decided(); }

std::string rollout_controller::cutReason(steady_time Now) const {
  return Impl->cutsDirectly(Now) ? Impl->Cut : "";
}

const rollout_state *rollout_controller::state() const {
  return Impl->Current ? &Impl->Current->State : nullptr;
}

} // namespace gentianlug::rollout
