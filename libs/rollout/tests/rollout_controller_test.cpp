#include "gentianlug/rollout/rollout_controller.h"

#include "gentianlug/rollout/pacing.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

/// Returns the verdict that the test has set.
struct fake_evaluator final : version_evaluator {
  verdict &Verdict;
  std::vector<double> &FalseAlarmRates;

  fake_evaluator(verdict &Verdict, std::vector<double> &FalseAlarmRates)
      : Verdict(Verdict), FalseAlarmRates(FalseAlarmRates) {}
  void start(evaluation_scope Scope) override {
    FalseAlarmRates.push_back(Scope.FalseAlarmRate);
  }
  void add(version_role, const server_evidence &) override {}
  verdict evaluate() override { return Verdict; }
  double oldErrorRate() const override { return 0; }
};

TEST_GROUP(rollout_controller) {
  manual_clock Clock;
  generator Gen{7};
  config::rollout Rollout;
  verdict Verdict;
  std::vector<double> FalseAlarmRates;
  std::unique_ptr<rollout_controller> Controller;
  /// The object on the platform.
  std::optional<versioned_state> Stored;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;

  void setup() override {
    Rollout.Service = service_name("commandes");
    Rollout.Version = version_name("v2");
    Rollout.FinishBy = Clock.wallNow() + 60s;
    startController();
  }

  clock_reading now() const { return {Clock.steadyNow(), Clock.wallNow()}; }

  /// Starts a controller on another node, which takes over the lease.
  void startController() {
    controller_parameters Parameters{Rollout, version_name("v1"), {}, 1, {},
                                     {}};
    Controller = std::make_unique<rollout_controller>(
        Parameters, std::make_unique<fake_evaluator>(Verdict, FalseAlarmRates));
    Controller->onLeaseChanged(true, ++Epoch);
  }

  controller_action nextAction() { return Controller->nextAction(now(), Gen); }

  /// Performs a write unless the expected revision differs.
  bool store(const controller_action &Action) {
    if (Action.ExpectedRevision != (Stored ? Stored->Revision : 0))
      return false;
    Stored = versioned_state{Action.State, Action.ExpectedRevision + 1};
    return true;
  }

  /// Performs actions until the controller returns `Wait`.
  void runActions() {
    for (int Round = 0; Round < 10; ++Round) {
      controller_action Action = nextAction();
      if (Action.Operation == controller_operation::Wait)
        return;
      if (Action.Operation == controller_operation::Read)
        Controller->onStateRead(now(), Stored);
      else if (store(Action))
        Controller->onWriteSucceeded(now(), Stored->Revision);
      else
        Controller->onWriteConflict(now());
    }
    FAIL("the controller did not wait after 10 actions");
  }

  void sendEvidence(bool Quarantined = false) {
    server_evidence Evidence;
    Evidence.Node = node_id("n2");
    Evidence.Service = Rollout.Service;
    Evidence.Version = Rollout.Version;
    Evidence.Sequence = ++Sequence;
    Evidence.ConcurrencyLimit = 10;
    Evidence.Quarantined = Quarantined;
    Evidence.Routes.push_back({route_name("orders"), 5, 0, {}});
    Controller->onEvidence(Clock.steadyNow(), Evidence);
  }

  /// Advances the clock, with evidence of a new server in each period.
  void runFor(std::chrono::milliseconds Duration) {
    for (auto Remaining = Duration; Remaining > 0ms;
         Remaining -= EvaluationPeriod) {
      Clock.advance(EvaluationPeriod);
      sendEvidence();
      Controller->evaluate(now());
      runActions();
    }
  }

  void writeAsOperator(rollout_phase Phase) {
    Stored->State.Phase = Phase;
    Stored->State.WriteId = "operator" + std::to_string(++Stored->Revision);
    if (Phase == rollout_phase::RolledBack)
      Stored->State.Share = 0;
  }

  const rollout_state &state() { return Stored->State; }
};

// Guards against a good version that is not completed by the finish time, and
// against a completion that is written too late to reach all nodes before it.
TEST(rollout_controller, goodVersionCompletesInTime) {
  runActions();
  CHECK(state().Phase == rollout_phase::Waiting);
  runFor(3s);
  CHECK(state().Phase == rollout_phase::Progressing);
  CHECK_TRUE(state().Share <= 0.05);
  Verdict.Kind = verdict_kind::Pass;
  while (state().Phase == rollout_phase::Progressing)
    runFor(EvaluationPeriod);
  CHECK(state().Phase == rollout_phase::Completed);
  DOUBLES_EQUAL(1, state().Share, 0);
  CHECK_TRUE(Clock.wallNow() + CompletionMargin <= Rollout.FinishBy);
  CHECK_TRUE(Controller->isFinished());
}

// Guards against a faulty version that keeps its share, in any phase.
TEST(rollout_controller, faultyVersionIsRolledBack) {
  for (auto Phase : {rollout_phase::Progressing, rollout_phase::Paused}) {
    Stored.reset();
    startController();
    Verdict = {};
    runFor(2s);
    if (Phase == rollout_phase::Paused)
      writeAsOperator(Phase);
    Controller->onStateDelivered(Stored->State);
    runActions();
    Verdict = {verdict_kind::Fail, "route orders: errors"};
    runFor(EvaluationPeriod);
    CHECK(state().Phase == rollout_phase::RolledBack);
    DOUBLES_EQUAL(0, state().Share, 0);
    STRCMP_EQUAL("route orders: errors", state().Reason.c_str());
  }
}

// Guards against a controller that ignores the quarantine by a node.
TEST(rollout_controller, quarantineByANodeRollsBack) {
  runFor(2s);
  sendEvidence(true);
  runActions();
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(Controller->quarantineReason(Clock.steadyNow()).find("n2") !=
             std::string::npos);
}

// Guards against rollouts that stay unfinished at the finish time because they
// have no servers or are paused.
TEST(rollout_controller, unfinishedRolloutIsRolledBackInTime) {
  runActions();
  Clock.advance(53s);
  runActions();
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(state().Reason.find("no server") != std::string::npos);
  Stored.reset();
  Rollout.FinishBy = Clock.wallNow() + 60s;
  startController();
  runFor(20s);
  writeAsOperator(rollout_phase::Paused);
  Controller->onStateDelivered(Stored->State);
  runFor(32s);
  CHECK(state().Phase == rollout_phase::Paused);
  runFor(2s);
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(state().Reason.find("paused") != std::string::npos);
}

// Guards against a controller that overrides a pause by the operator, and
// against a resumed rollout that restarts with a share of 0.
TEST(rollout_controller, operatorPausesAndResumes) {
  Verdict.Kind = verdict_kind::Pass;
  runFor(8s);
  double Share = state().Share;
  CHECK_TRUE(Share > 0.05);
  writeAsOperator(rollout_phase::Paused);
  runFor(4s); // the next write conflicts
  DOUBLES_EQUAL(Share, state().Share, 0);
  CHECK(state().Phase == rollout_phase::Paused);
  writeAsOperator(rollout_phase::Progressing);
  Controller->onStateDelivered(Stored->State);
  runFor(4s);
  CHECK_TRUE(state().Share > Share);
  writeAsOperator(rollout_phase::RolledBack);
  Controller->onStateDelivered(Stored->State);
  runFor(1s);
  CHECK_TRUE(Controller->isFinished());
  DOUBLES_EQUAL(0, state().Share, 0);
}

// Guards against a stalled former lease holder whose late write takes effect,
// and against one that overwrites the state of its successor.
TEST(rollout_controller, writesOfAFormerHolderAreRejected) {
  Verdict.Kind = verdict_kind::Pass;
  runFor(1s);
  Clock.advance(6s);
  sendEvidence();
  controller_action Late = nextAction();
  CHECK(Late.Operation == controller_operation::Write);
  std::unique_ptr<rollout_controller> Former = std::move(Controller);
  startController();
  runActions();
  LONGS_EQUAL(2, state().Epoch);
  CHECK_FALSE(store(Late));
  Former->onWriteConflict(now());
  CHECK(Former->nextAction(now(), Gen).Operation == controller_operation::Read);
  Former->onStateRead(now(), Stored);
  CHECK(Former->nextAction(now(), Gen).Operation == controller_operation::Wait);
}

// Guards against a step that is made twice or not at all when the response to
// its write is lost, whether or not the write took effect.
TEST(rollout_controller, lostResponseIsResolvedByReading) {
  for (bool TakesEffect : {true, false}) {
    Stored.reset();
    startController();
    runFor(1s);
    double PreviousShare = state().Share;
    Verdict.Kind = verdict_kind::Pass;
    controller_action Action;
    for (int Round = 0; Round < 40; ++Round) {
      Clock.advance(EvaluationPeriod);
      sendEvidence();
      Controller->evaluate(now());
      Action = nextAction();
      if (Action.Operation == controller_operation::Write)
        break;
    }
    CHECK(Action.Operation == controller_operation::Write);
    if (TakesEffect)
      CHECK_TRUE(store(Action));
    Controller->onNoResponse(now());
    Clock.advance(1s);
    CHECK(nextAction().Operation == controller_operation::Read);
    Controller->onStateRead(now(), Stored);
    runActions();
    DOUBLES_EQUAL(2 * PreviousShare, state().Share, 1e-9);
    Verdict.Kind = verdict_kind::Undecided;
  }
}

// Guards against a successor of a failed controller that restarts the rollout,
// increases the share without evidence of its own, or uses the whole false
// alarm rate again.
TEST(rollout_controller, successorResumesFromTheState) {
  Verdict.Kind = verdict_kind::Pass;
  runFor(8s);
  double Share = state().Share;
  Verdict.Kind = verdict_kind::Undecided;
  startController();
  runFor(3s);
  DOUBLES_EQUAL(Share, state().Share, 0);
  LONGS_EQUAL(2, state().ControllerCount);
  DOUBLES_EQUAL(0.0005, FalseAlarmRates[0], 1e-9);
  DOUBLES_EQUAL(0.001 / 6, FalseAlarmRates[1], 1e-9);
  Verdict.Kind = verdict_kind::Pass;
  runFor(8s);
  CHECK_TRUE(state().Share > Share);
}

// Guards against a controller that writes without the lease, and against one
// that does not have a faulty version quarantined then.
TEST(rollout_controller, withoutLeaseItOnlyQuarantines) {
  runFor(2s);
  Controller->onLeaseChanged(false, 0);
  Verdict = {verdict_kind::Fail, "errors"};
  runFor(1s);
  CHECK(state().Phase == rollout_phase::Progressing);
  STRCMP_EQUAL("errors",
               Controller->quarantineReason(Clock.steadyNow()).c_str());
  Controller->onLeaseChanged(true, Epoch);
  runActions();
  CHECK(state().Phase == rollout_phase::RolledBack);
}

// Guards against a node with an old configuration that overwrites the state of
// a newer rollout, and against the state of an earlier rollout that blocks a
// new one.
TEST(rollout_controller, newerConfigurationTakesPrecedence) {
  runActions();
  Stored->State.Id = "another";
  Stored->State.ConfigVersion = 2;
  startController();
  runActions();
  STRCMP_EQUAL("another", state().Id.c_str());
  Stored->State.ConfigVersion = 1;
  startController();
  runActions();
  STRCMP_EQUAL(Rollout.id().c_str(), state().Id.c_str());
}

// Guards against a quarantine at a large share that takes effect before the
// rollout state has moved the calls to the old version, so that more calls are
// refused than the entry nodes may retry.
TEST(rollout_controller, quarantineAtALargeShareIsDelayed) {
  Verdict.Kind = verdict_kind::Pass;
  runFor(20s);
  CHECK_TRUE(state().Share > MaxImmediateQuarantineShare);
  Controller->onLeaseChanged(false, 0);
  Verdict = {verdict_kind::Fail, "errors"};
  runFor(EvaluationPeriod);
  STRCMP_EQUAL("", Controller->quarantineReason(Clock.steadyNow()).c_str());
  runFor(QuarantineDelay);
  STRCMP_EQUAL("errors",
               Controller->quarantineReason(Clock.steadyNow()).c_str());
}
