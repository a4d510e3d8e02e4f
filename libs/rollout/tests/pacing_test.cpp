#include "gentianlug/rollout/pacing.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

TEST_GROUP(pacing) {
  pace_input Input;

  void setup() override {
    Input.Share = 0.045;
    Input.FirstShare = 0.045;
    Input.SinceStep = 60s;
    Input.TimeLeft = 50s;
    Input.Verdict = verdict_kind::MayGrow;
    Input.CallsSinceStep = 100;
    Input.Allowance = 100;
    Input.CallsAtATime = 10;
  }
};

// Guards against a share above the bound before the verdict.
TEST(pacing, holdsUntilTheVerdictAllowsMore) {
  Input.Verdict = verdict_kind::Undecided;
  CHECK(pace{} == nextPace(Input));
  Input.Share = 0;
  CHECK((pace{pace_step::Raise, 0.045} == nextPace(Input)));
}

// Guards against steps without evidence of the share before.
TEST(pacing, eachStepNeedsCallsAndTime) {
  CHECK((pace{pace_step::Raise, 0.09} == nextPace(Input)));
  Input.CallsSinceStep = CallsPerStep - 1;
  CHECK(pace{} == nextPace(Input));
  Input.CallsSinceStep = CallsPerStep;
  Input.SinceStep = ShortestStep - 1ms;
  CHECK(pace{} == nextPace(Input));
}

// Guards against cold servers that get more than they bear.
TEST(pacing, allowancesOfTheNewServersBoundTheShare) {
  Input.Share = 0.2;
  Input.Allowance = 4;
  CHECK((pace{pace_step::Raise, 4 / 12.5} == nextPace(Input)));
  Input.Allowance = 2;
  CHECK(pace{} == nextPace(Input));
  Input.Share = 0;
  Input.CallsAtATime = 100;
  CHECK((pace{pace_step::Raise, 2 / 125.0} == nextPace(Input)));
}

// Guards against a good version that is never done because an allowance stays
// a little too small.
TEST(pacing, allowancesDoNotHoldBackAProvenShare) {
  Input.Share = 0.85;
  Input.Allowance = 1;
  CHECK((pace{pace_step::Raise, FullShare} == nextPace(Input)));
  Input.Share = FullShare;
  CHECK((pace{pace_step::Finish, 1} == nextPace(Input)));
}

// Guards against rollouts that are not done well before their time, whatever
// time is left at the verdict.
TEST(pacing, plannedStepsFitIntoTheTimeLeft) {
  for (auto Left : {20s, 60s, 600s}) {
    Input.Share = Input.FirstShare;
    Input.TimeLeft = Left;
    Input.SinceStep = 0ms;
    pace Pace;
    while (Pace.Step != pace_step::Finish && Input.TimeLeft > 0ms) {
      Input.TimeLeft -= 250ms;
      Input.SinceStep += 250ms;
      Pace = nextPace(Input);
      if (Pace.Step == pace_step::Raise) {
        Input.Share = Pace.Share;
        Input.SinceStep = 0ms;
      }
    }
    CHECK(Pace.Step == pace_step::Finish);
    CHECK_TRUE(Input.TimeLeft >= Left * (1 - PlannedPart) / 2);
  }
}

// Guards against orders that run the same risk as other calls.
TEST(pacing, nonIdempotentCallsGetHalfAtFirst) {
  DOUBLES_EQUAL(0.05, nonIdempotentShare(0.1), 1e-9);
  DOUBLES_EQUAL(0.2, nonIdempotentShare(0.2), 1e-9);
}
