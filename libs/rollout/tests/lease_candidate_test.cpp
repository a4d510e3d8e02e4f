#include "gentianlug/rollout/lease_candidate.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

TEST_GROUP(candidacy) {
  manual_clock Clock;
  generator Gen{5};
  lease_candidate Candidacy;
  controller_notice Notice;

  void setup() override {
    Notice.Epoch = 2;
    Notice.LeaseHeld = true;
    Candidacy.start(Clock.steadyNow(), Gen);
  }

  bool notify() { return Candidacy.onNotice(Clock.steadyNow(), Notice, Gen); }
};

// Guards against candidates that read the lease while a controller works, and
// against a dead controller that nobody replaces.
TEST(candidacy, contendsOnlyWithoutNotices) {
  for (int Second = 0; Second < 60; ++Second) {
    CHECK_TRUE(notify());
    Clock.advance(1s);
    CHECK_FALSE(Candidacy.shouldContend(Clock.steadyNow()));
  }
  Clock.advance(ControllerTimeout + MaxCandidateDelay);
  CHECK_TRUE(Candidacy.shouldContend(Clock.steadyNow()));
}

// Guards against a controller without its lease that keeps others from taking
// over, and against a paused former holder whose notices count.
TEST(candidacy, onlyTheNewestHolderCounts) {
  Clock.advance(MaxCandidateDelay);
  Notice.LeaseHeld = false;
  CHECK_TRUE(notify());
  CHECK_TRUE(Candidacy.shouldContend(Clock.steadyNow()));
  Notice.Epoch = 1;
  Notice.LeaseHeld = true;
  CHECK_FALSE(notify());
  CHECK_TRUE(Candidacy.shouldContend(Clock.steadyNow()));
}
