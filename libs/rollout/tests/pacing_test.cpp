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

// Guards against a share above the configured bound before the verdict.
TEST(pacing, holdsUntilTheVerdictIsPass) {
  Input.Verdict = verdict_kind::Undecided;
  CHECK(rollout_step{} == nextStep(Input));
  Input.Share = 0;
  CHECK((rollout_step{step_kind::Increase, 0.045} == nextStep(Input)));
}

// Guards against steps without evidence from the previous share.
TEST(pacing, eachStepNeedsCallsAndTime) {
  CHECK((rollout_step{step_kind::Increase, 0.09} == nextStep(Input)));
  Input.CallsSinceStep = MinCallsPerStep - 1;
  CHECK(rollout_step{} == nextStep(Input));
  Input.CallsSinceStep = MinCallsPerStep;
  Input.TimeSinceStep = MinStepDuration - 1ms;
  CHECK(rollout_step{} == nextStep(Input));
}

// Guards against cold servers that receive more calls than they have the
// capacity for.
TEST(pacing, capacityOfTheNewServersLimitsTheShare) {
  Input.Share = 0.2;
  Input.ConcurrencyLimit = 4;
  CHECK((rollout_step{step_kind::Increase, 4 / 12.5} == nextStep(Input)));
  Input.ConcurrencyLimit = 2;
  CHECK(rollout_step{} == nextStep(Input));
  Input.Share = 0;
  Input.ConcurrentCalls = 100;
  CHECK((rollout_step{step_kind::Increase, 2 / 125.0} == nextStep(Input)));
}

// Guards against a good version that is never completed because a concurrency
// limit stays slightly too small.
TEST(pacing, capacityDoesNotLimitALargeShare) {
  Input.Share = 0.85;
  Input.ConcurrencyLimit = 1;
  CHECK((rollout_step{step_kind::Increase, MaxShareBeforeCompletion} ==
         nextStep(Input)));
  Input.Share = MaxShareBeforeCompletion;
  CHECK((rollout_step{step_kind::Complete, 1} == nextStep(Input)));
}

// Guards against rollouts that are not completed well before the finish time,
// regardless of the time left at the verdict.
TEST(pacing, plannedStepsFitIntoTheTimeLeft) {
  for (auto TimeLeft : {20s, 60s, 600s}) {
    Input.Share = Input.InitialShare;
    Input.TimeLeft = TimeLeft;
    Input.TimeSinceStep = 0ms;
    rollout_step Step;
    while (Step.Kind != step_kind::Complete && Input.TimeLeft > 0ms) {
      Input.TimeLeft -= 250ms;
      Input.TimeSinceStep += 250ms;
      Step = nextStep(Input);
      if (Step.Kind == step_kind::Increase) {
        Input.Share = Step.Share;
        Input.TimeSinceStep = 0ms;
      }
    }
    CHECK(Step.Kind == step_kind::Complete);
    CHECK_TRUE(Input.TimeLeft >= TimeLeft * (1 - PlannedTimeFraction) / 2);
  }
}

// Guards against non-idempotent calls that get the full share at first.
TEST(pacing, nonIdempotentCallsGetHalfAtFirst) {
  DOUBLES_EQUAL(0.05, nonIdempotentShare(0.1), 1e-9);
  DOUBLES_EQUAL(0.2, nonIdempotentShare(0.2), 1e-9);
}
