#include "gentianlug/admission/cold_start_limit.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using std::chrono::milliseconds;

TEST_GROUP(cold_start_allowance) {
  manual_clock Clock;
  cold_start_limit Allowance;

  void setup() override { Allowance.reset(10, Clock.steadyNow()); }

  void answer(bool Failed, bool Jump, std::uint32_t InFlight) {
    steady_time Start = Clock.steadyNow();
    Clock.advance(milliseconds(5));
    Allowance.addSample(
        {Failed, Jump ? 3.0 : 1.0, Jump, InFlight, Start, Clock.steadyNow()});
  }

  void warmUp() {
    for (int Call = 0; Call < 100; ++Call)
      answer(false, false, Allowance.limit());
  }
};

// Guards against a cold server that gets its full load at once.
TEST(cold_start_allowance, StartsAtOneAndGrowsByOneARound) {
  CHECK_EQUAL(1U, Allowance.limit());
  answer(false, false, 1);
  CHECK_EQUAL(2U, Allowance.limit());
  answer(false, false, 2);
  answer(false, false, 2);
  CHECK_EQUAL(2U, Allowance.limit());
  answer(false, false, 2);
  CHECK_EQUAL(3U, Allowance.limit());
}

// Guards against growth that no load has tested.
TEST(cold_start_allowance, DoesNotGrowOnIdleSuccesses) {
  for (int Call = 0; Call < 20; ++Call)
    answer(false, false, Allowance.limit());
  std::uint32_t Before = Allowance.limit();
  for (int Call = 0; Call < 100; ++Call)
    answer(false, false, 1);
  CHECK_EQUAL(Before, Allowance.limit());
  CHECK(Before < 10);
}

// Guards against growth that goes on while the server is in trouble.
TEST(cold_start_allowance, IsHalvedByAnErrorOrAJump) {
  for (bool Failed : {true, false}) {
    Allowance.reset(10, Clock.steadyNow());
    while (Allowance.limit() < 8)
      answer(false, false, Allowance.limit());
    answer(Failed, !Failed, 8);
    CHECK_EQUAL(4U, Allowance.limit());
  }
}

// Guards against one bad moment that halves once for each call in flight.
TEST(cold_start_allowance, CallsFromBeforeTheHalvingDoNotHalveAgain) {
  while (Allowance.limit() < 8)
    answer(false, false, Allowance.limit());
  steady_time Before = Clock.steadyNow();
  answer(true, false, 8);
  for (int Call = 0; Call < 7; ++Call)
    Allowance.addSample({true, 1, false, 8, Before, Clock.steadyNow()});
  CHECK_EQUAL(4U, Allowance.limit());
}

// Guards against a silently restarted server that keeps its full load.
TEST(cold_start_allowance, ARunOfTroubleCountsAsARestart) {
  warmUp();
  CHECK_EQUAL(10U, Allowance.limit());
  for (int Call = 0; Call < 60; ++Call)
    answer(false, true, 10);
  CHECK(Allowance.limit() < 3);
  CHECK_FALSE(Allowance.isWarm(Clock.steadyNow()));
}

// Guards against a stall of the machine that looks like a restart.
TEST(cold_start_allowance, OneStallIsNoRestart) {
  warmUp();
  steady_time Now = Clock.steadyNow();
  for (int Call = 0; Call < 10; ++Call)
    Allowance.addSample(
        {false, 9, true, 10, Now, Now + milliseconds(20 * Call)});
  CHECK_EQUAL(10U, Allowance.limit());
}

// Guards against a lightly loaded server whose latencies never count.
TEST(cold_start_allowance, IsWarmAfterAQuietTime) {
  CHECK_FALSE(Allowance.isWarm(Clock.steadyNow()));
  Clock.advance(milliseconds(3000));
  CHECK(Allowance.isWarm(Clock.steadyNow()));
  CHECK_EQUAL(1U, Allowance.limit());
}
