#include "gentianlug/rollout/pacing.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

TEST_GROUP(pacing) {
  step_input Input;

  void setup() override {
    Input.Share = 0.045;
    Input.InitialShare = 0.045;
    Input.TimeSinceStep = 60s;
    Input.TimeLeft = 50s;
    Input.Verdict = verdict_kind::Pass;
    Input.CallsSinceStep = 100;
    Input.ConcurrencyLimit = 100;
    Input.ConcurrentCalls = 10;
  }
};

// Guards against a share above the bound before the verdict.
TEST(pacing, holdsUntilTheVerdictAllowsMore) {
  Input.Verdict = verdict_kind::Undecided;
  CHECK(rollout_step{} == nextStep(Input));
  Input.Share = 0;
  CHECK((rollout_step{step_kind::Increase, 0.045} == nextStep(Input)));
}

// Guards against steps without evidence of the share before.
TEST(pacing, eachStepNeedsCallsAndTime) {
  CHECK((rollout_step{step_kind::Increase, 0.09} == nextStep(Input)));
  Input.CallsSinceStep = MinCallsPerStep - 1;
  CHECK(rollout_step{} == nextStep(Input));
  Input.CallsSinceStep = MinCallsPerStep;
  Input.TimeSinceStep = MinStepDuration - 1ms;
  CHECK(rollout_step{} == nextStep(Input));
}

// Guards against cold servers that get more than they bear.
TEST(pacing, allowancesOfTheNewServersBoundTheShare) {
  Input.Share = 0.2;
  Input.ConcurrencyLimit = 4;
  CHECK((rollout_step{step_kind::Increase, 4 / 12.5} == nextStep(Input)));
  Input.ConcurrencyLimit = 2;
  CHECK(rollout_step{} == nextStep(Input));
  Input.Share = 0;
  Input.ConcurrentCalls = 100;
  CHECK((rollout_step{step_kind::Increase, 2 / 125.0} == nextStep(Input)));
}

// Guards against a good version that is never done because an allowance stays
// a little too small.
TEST(pacing, allowancesDoNotHoldBackAProvenShare) {
  Input.Share = 0.85;
  Input.ConcurrencyLimit = 1;
  CHECK((rollout_step{step_kind::Increase, MaxShareBeforeCompletion} ==
         nextStep(Input)));
  Input.Share = MaxShareBeforeCompletion;
  CHECK((rollout_step{step_kind::Complete, 1} == nextStep(Input)));
}

// Guards against rollouts that are not done well before their time, whatever
// time is left at the verdict.
TEST(pacing, plannedStepsFitIntoTheTimeLeft) {
  for (auto Left : {20s, 60s, 600s}) {
    Input.Share = Input.InitialShare;
    Input.TimeLeft = Left;
    Input.TimeSinceStep = 0ms;
    rollout_step Pace;
    while (Pace.Kind != step_kind::Complete && Input.TimeLeft > 0ms) {
      Input.TimeLeft -= 250ms;
      Input.TimeSinceStep += 250ms;
      Pace = nextStep(Input);
      if (Pace.Kind == step_kind::Increase) {
        Input.Share = Pace.Share;
        Input.TimeSinceStep = 0ms;
      }
    }
    CHECK(Pace.Kind == step_kind::Complete);
    CHECK_TRUE(Input.TimeLeft >= Left * (1 - PlannedTimeFraction) / 2);
  }
}

// Guards against orders that run the same risk as other calls.
TEST(pacing, nonIdempotentCallsGetHalfAtFirst) {
  DOUBLES_EQUAL(0.05, nonIdempotentShare(0.1), 1e-9);
  DOUBLES_EQUAL(0.2, nonIdempotentShare(0.2), 1e-9);
}
