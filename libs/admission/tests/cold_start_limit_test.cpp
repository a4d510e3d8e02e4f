#include "gentianlug/admission/cold_start_limit.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using std::chrono::milliseconds;

TEST_GROUP(cold_start_limit) {
  manual_clock Clock;
  cold_start_limit Limit;

  void setup() override { Limit.reset(10, Clock.steadyNow()); }

  void addSample(bool Failed, bool Spike, std::uint32_t InFlight) {
    steady_time Start = Clock.steadyNow();
    Clock.advance(milliseconds(5));
    Limit.addSample(
        {Failed, Spike ? 3.0 : 1.0, Spike, InFlight, Start, Clock.steadyNow()});
  }

  void warmUp() {
    for (int Call = 0; Call < 100; ++Call)
      addSample(false, false, Limit.limit());
  }
};

// Guards against sending the full load to a cold server immediately.
TEST(cold_start_limit, StartsAtOneAndGrowsByOnePerRound) {
  CHECK_EQUAL(1U, Limit.limit());
  addSample(false, false, 1);
  CHECK_EQUAL(2U, Limit.limit());
  addSample(false, false, 2);
  addSample(false, false, 2);
  CHECK_EQUAL(2U, Limit.limit());
  addSample(false, false, 2);
  CHECK_EQUAL(3U, Limit.limit());
}

// Guards against growth from calls that do not use the current limit.
TEST(cold_start_limit, DoesNotGrowOnSuccessesAtLowLoad) {
  for (int Call = 0; Call < 20; ++Call)
    addSample(false, false, Limit.limit());
  std::uint32_t Before = Limit.limit();
  for (int Call = 0; Call < 100; ++Call)
    addSample(false, false, 1);
  CHECK_EQUAL(Before, Limit.limit());
  CHECK(Before < 10);
}

// Guards against growth while the server fails calls or is slow.
TEST(cold_start_limit, IsHalvedByAnErrorOrASpike) {
  for (bool Failed : {true, false}) {
    Limit.reset(10, Clock.steadyNow());
    while (Limit.limit() < 8)
      addSample(false, false, Limit.limit());
    addSample(Failed, !Failed, 8);
    CHECK_EQUAL(4U, Limit.limit());
  }
}

// Guards against one fault that halves the limit once for each call in flight.
TEST(cold_start_limit, CallsFromBeforeTheHalvingDoNotHalveAgain) {
  while (Limit.limit() < 8)
    addSample(false, false, Limit.limit());
  steady_time Before = Clock.steadyNow();
  addSample(true, false, 8);
  for (int Call = 0; Call < 7; ++Call)
    Limit.addSample({true, 1, false, 8, Before, Clock.steadyNow()});
  CHECK_EQUAL(4U, Limit.limit());
}

// Guards against sending the full load to a server after an unannounced
// restart.
TEST(cold_start_limit, ConsecutiveSpikesCountAsARestart) {
  warmUp();
  CHECK_EQUAL(10U, Limit.limit());
  for (int Call = 0; Call < 60; ++Call)
    addSample(false, true, 10);
  CHECK(Limit.limit() < 3);
  CHECK_FALSE(Limit.isWarm(Clock.steadyNow()));
}

// Guards against taking a stall of the VM for a restart.
TEST(cold_start_limit, OneStallIsNoRestart) {
  warmUp();
  steady_time Now = Clock.steadyNow();
  for (int Call = 0; Call < 10; ++Call)
    Limit.addSample({false, 9, true, 10, Now, Now + milliseconds(20 * Call)});
  CHECK_EQUAL(10U, Limit.limit());
}

// Guards against a server with low load that never counts as warm.
TEST(cold_start_limit, IsWarmAfterAStablePeriod) {
  CHECK_FALSE(Limit.isWarm(Clock.steadyNow()));
  Clock.advance(milliseconds(3000));
  CHECK(Limit.isWarm(Clock.steadyNow()));
  CHECK_EQUAL(1U, Limit.limit());
}
