#include "gentianlug/rollout/lease_candidate.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

TEST_GROUP(lease_candidate) {
  manual_clock Clock;
  generator Gen{5};
  lease_candidate Candidate;
  controller_notice Notice;

  void setup() override {
    Notice.Epoch = 2;
    Notice.LeaseHeld = true;
    Candidate.start(Clock.steadyNow(), Gen);
  }

  bool notify() { return Candidate.onNotice(Clock.steadyNow(), Notice, Gen); }
};

// Guards against candidates that read the lease while a controller is active,
// and against a failed controller that is not replaced.
TEST(lease_candidate, contendsOnlyWithoutNotices) {
  for (int Second = 0; Second < 60; ++Second) {
    CHECK_TRUE(notify());
    Clock.advance(1s);
    CHECK_FALSE(Candidate.shouldContend(Clock.steadyNow()));
  }
  Clock.advance(ControllerTimeout + MaxCandidateDelay);
  CHECK_TRUE(Candidate.shouldContend(Clock.steadyNow()));
}

// Guards against a controller without the lease whose notices keep candidates
// from taking over, and against notices of a former holder.
TEST(lease_candidate, onlyNoticesOfTheLatestHolderCount) {
  Clock.advance(MaxCandidateDelay);
  Notice.LeaseHeld = false;
  CHECK_TRUE(notify());
  CHECK_TRUE(Candidate.shouldContend(Clock.steadyNow()));
  Notice.Epoch = 1;
  Notice.LeaseHeld = true;
  CHECK_FALSE(notify());
  CHECK_TRUE(Candidate.shouldContend(Clock.steadyNow()));
}
