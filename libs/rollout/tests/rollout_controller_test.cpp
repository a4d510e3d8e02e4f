#include "gentianlug/rollout/rollout_controller.h"

#include "gentianlug/rollout/pacing.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

/// Judges what the test says.
struct set_verdict final : version_evaluator {
  verdict &Verdict;
  std::vector<double> &Rates;

  set_verdict(verdict &Verdict, std::vector<double> &Rates)
      : Verdict(Verdict), Rates(Rates) {}
  void start(evaluation_scope Scope) override {
    Rates.push_back(Scope.FalseAlarmRate);
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
  std::vector<double> Rates;
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

  /// Another node takes the lease over.
  void startController() {
    controller_parameters Task{Rollout, version_name("v1"), {}, 1, {}, {}};
    Controller = std::make_unique<rollout_controller>(
        Task, std::make_unique<set_verdict>(Verdict, Rates));
    Controller->onLeaseChanged(true, ++Epoch);
  }

  controller_action nextAction() { return Controller->nextAction(now(), Gen); }

  /// Lets a write take effect.
  bool store(const controller_action &Action) {
    if (Action.ExpectedRevision != (Stored ? Stored->Revision : 0))
      return false;
    Stored = versioned_state{Action.State, Action.ExpectedRevision + 1};
    return true;
  }

  /// Performs actions until the controller waits.
  void settle() {
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
    FAIL("the controller does not settle");
  }

  void sendEvidence(bool Cut = false) {
    server_evidence Evidence;
    Evidence.Node = node_id("n2");
    Evidence.Service = Rollout.Service;
    Evidence.Version = Rollout.Version;
    Evidence.Sequence = ++Sequence;
    Evidence.ConcurrencyLimit = 10;
    Evidence.Quarantined = Cut;
    Evidence.Routes.push_back({route_name("orders"), 5, 0, {}});
    Controller->onEvidence(Clock.steadyNow(), Evidence);
  }

  /// Lets time pass with evidence of a new server.
  void letPass(std::chrono::milliseconds Time) {
    for (auto Left = Time; Left > 0ms; Left -= EvaluationPeriod) {
      Clock.advance(EvaluationPeriod);
      sendEvidence();
      Controller->evaluate(now());
      settle();
    }
  }

  void operatorWrites(rollout_phase Phase) {
    Stored->State.Phase = Phase;
    Stored->State.WriteId = "operator" + std::to_string(++Stored->Revision);
    if (Phase == rollout_phase::RolledBack)
      Stored->State.Share = 0;
  }

  const rollout_state &state() { return Stored->State; }
};

// Guards against good versions that miss their time, and against `done` that
// is written too late to be in force everywhere.
TEST(rollout_controller, goodVersionIsDoneInTime) {
  settle();
  CHECK(state().Phase == rollout_phase::Waiting);
  letPass(3s);
  CHECK(state().Phase == rollout_phase::Progressing);
  CHECK_TRUE(state().Share <= 0.05);
  Verdict.Kind = verdict_kind::Pass;
  while (state().Phase == rollout_phase::Progressing)
    letPass(EvaluationPeriod);
  CHECK(state().Phase == rollout_phase::Completed);
  DOUBLES_EQUAL(1, state().Share, 0);
  CHECK_TRUE(Clock.wallNow() + CompletionMargin <= Rollout.FinishBy);
  CHECK_TRUE(Controller->isFinished());
}

// Guards against a version with a fault that keeps its share, in any phase.
TEST(rollout_controller, badVersionIsTakenBack) {
  for (auto Phase : {rollout_phase::Progressing, rollout_phase::Paused}) {
    Stored.reset();
    startController();
    Verdict = {};
    letPass(2s);
    if (Phase == rollout_phase::Paused)
      operatorWrites(Phase);
    Controller->onStateDelivered(Stored->State);
    settle();
    Verdict = {verdict_kind::Fail, "route orders: errors"};
    letPass(EvaluationPeriod);
    CHECK(state().Phase == rollout_phase::RolledBack);
    DOUBLES_EQUAL(0, state().Share, 0);
    STRCMP_EQUAL("route orders: errors", state().Reason.c_str());
  }
}

// Guards against a cut of one node that the controller does not act on.
TEST(rollout_controller, cutOfANodeTakesBack) {
  letPass(2s);
  sendEvidence(true);
  settle();
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(Controller->quarantineReason(Clock.steadyNow()).find("n2") !=
             std::string::npos);
}

// Guards against rollouts that stay undecided: no servers, paused, or no
// verdict at the time.
TEST(rollout_controller, undecidedRolloutIsTakenBackInTime) {
  settle();
  Clock.advance(53s);
  settle();
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(state().Reason.find("no server") != std::string::npos);
  Stored.reset();
  Rollout.FinishBy = Clock.wallNow() + 60s;
  startController();
  letPass(20s);
  operatorWrites(rollout_phase::Paused);
  Controller->onStateDelivered(Stored->State);
  letPass(32s);
  CHECK(state().Phase == rollout_phase::Paused);
  letPass(2s);
  CHECK(state().Phase == rollout_phase::RolledBack);
  CHECK_TRUE(state().Reason.find("paused") != std::string::npos);
}

// Guards against a pause that the controller overrides, and a resumed rollout
// that starts from nothing.
TEST(rollout_controller, operatorPausesAndResumes) {
  Verdict.Kind = verdict_kind::Pass;
  letPass(8s);
  double Share = state().Share;
  CHECK_TRUE(Share > 0.05);
  operatorWrites(rollout_phase::Paused);
  letPass(4s); // the step in between conflicts
  DOUBLES_EQUAL(Share, state().Share, 0);
  CHECK(state().Phase == rollout_phase::Paused);
  operatorWrites(rollout_phase::Progressing);
  Controller->onStateDelivered(Stored->State);
  letPass(4s);
  CHECK_TRUE(state().Share > Share);
  operatorWrites(rollout_phase::RolledBack);
  Controller->onStateDelivered(Stored->State);
  letPass(1s);
  CHECK_TRUE(Controller->isFinished());
  DOUBLES_EQUAL(0, state().Share, 0);
}

// Guards against a paused former holder whose write takes effect, and against
// one that fights the controller after it.
TEST(rollout_controller, formerHolderIsRefused) {
  Verdict.Kind = verdict_kind::Pass;
  letPass(1s);
  Clock.advance(6s);
  sendEvidence();
  controller_action Late = nextAction();
  CHECK(Late.Operation == controller_operation::Write);
  std::unique_ptr<rollout_controller> Former = std::move(Controller);
  startController();
  settle();
  LONGS_EQUAL(2, state().Epoch);
  CHECK_FALSE(store(Late));
  Former->onWriteConflict(now());
  CHECK(Former->nextAction(now(), Gen).Operation == controller_operation::Read);
  Former->onStateRead(now(), Stored);
  CHECK(Former->nextAction(now(), Gen).Operation == controller_operation::Wait);
}

// Guards against a step that is taken twice, or lost, when the answer to its
// write is lost, whether or not the write took effect.
TEST(rollout_controller, lostAnswerIsSettledByReading) {
  for (bool TakesEffect : {true, false}) {
    Stored.reset();
    startController();
    letPass(1s);
    double Before = state().Share;
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
    settle();
    DOUBLES_EQUAL(2 * Before, state().Share, 1e-9);
    Verdict.Kind = verdict_kind::Undecided;
  }
}

// Guards against a controller that starts from the beginning after the one
// before it died, raises without evidence of its own, or spends the whole
// false alarm rate again.
TEST(rollout_controller, successorResumesFromTheState) {
  Verdict.Kind = verdict_kind::Pass;
  letPass(8s);
  double Share = state().Share;
  Verdict.Kind = verdict_kind::Undecided;
  startController();
  letPass(3s);
  DOUBLES_EQUAL(Share, state().Share, 0);
  LONGS_EQUAL(2, state().ControllerCount);
  DOUBLES_EQUAL(0.0005, Rates[0], 1e-9);
  DOUBLES_EQUAL(0.001 / 6, Rates[1], 1e-9);
  Verdict.Kind = verdict_kind::Pass;
  letPass(8s);
  CHECK_TRUE(state().Share > Share);
}

// Guards against a controller without its lease that writes, and against one
// that does not tell its nodes of a fault then.
TEST(rollout_controller, withoutLeaseItOnlyCuts) {
  letPass(2s);
  Controller->onLeaseChanged(false, 0);
  Verdict = {verdict_kind::Fail, "errors"};
  letPass(1s);
  CHECK(state().Phase == rollout_phase::Progressing);
  STRCMP_EQUAL("errors",
               Controller->quarantineReason(Clock.steadyNow()).c_str());
  Controller->onLeaseChanged(true, Epoch);
  settle();
  CHECK(state().Phase == rollout_phase::RolledBack);
}

// Guards against a node with an old configuration that overwrites the state of
// a newer rollout, and a new rollout that is held up by the one before.
TEST(rollout_controller, newerConfigurationWins) {
  settle();
  Stored->State.Id = "another";
  Stored->State.ConfigVersion = 2;
  startController();
  settle();
  STRCMP_EQUAL("another", state().Id.c_str());
  Stored->State.ConfigVersion = 1;
  startController();
  settle();
  STRCMP_EQUAL(Rollout.id().c_str(), state().Id.c_str());
}

// Guards against a cut at a large share that refuses more calls than the entry
// nodes may retry, before the state has moved them to the old version.
TEST(rollout_controller, cutAtALargeShareFollowsTheState) {
  Verdict.Kind = verdict_kind::Pass;
  letPass(20s);
  CHECK_TRUE(state().Share > MaxImmediateQuarantineShare);
  Controller->onLeaseChanged(false, 0);
  Verdict = {verdict_kind::Fail, "errors"};
  letPass(EvaluationPeriod);
  STRCMP_EQUAL("", Controller->quarantineReason(Clock.steadyNow()).c_str());
  letPass(QuarantineDelay);
  STRCMP_EQUAL("errors",
               Controller->quarantineReason(Clock.steadyNow()).c_str());
}
