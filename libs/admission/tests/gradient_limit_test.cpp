#include "gentianlug/admission/gradient_limit.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;

TEST_GROUP(gradient_limit) {
  manual_clock Clock;
  gradient_limit Limit;

  void setup() override { Limit.reset(10, Clock.steadyNow()); }

  void addSamples(double Ratio, std::uint32_t InFlight, int Count) {
    for (int Call = 0; Call < Count; ++Call)
      Limit.addSample({false, Ratio, false, InFlight, Clock.steadyNow(),
                       Clock.steadyNow()});
  }
};

// Guards against a limit that starts low and leaves a healthy server underused.
TEST(gradient_limit, StartsFromSlotsAndStaysThere) {
  CHECK_EQUAL(10U, Limit.limit());
  addSamples(1, 10, 1000);
  CHECK_EQUAL(10U, Limit.limit());
}

// Guards against a limit that does not react to queueing inside the server.
TEST(gradient_limit, ShrinksWithLatencyButNotBelowOne) {
  addSamples(4, 10, 200);
  CHECK(Limit.limit() <= 5);
  addSamples(1000, 10, 1000);
  CHECK(Limit.limit() >= 1);
}

// Guards against a limit that stays low after latency has returned to normal.
TEST(gradient_limit, RecoversToSlots) {
  addSamples(4, 10, 200);
  addSamples(1, 2, 200);
  CHECK_EQUAL(10U, Limit.limit());
}

// Guards against shrinking because of latency that is not caused by load.
TEST(gradient_limit, KeepsTheLimitWhileLoadIsLow) {
  addSamples(4, 1, 200);
  CHECK_EQUAL(10U, Limit.limit());
}
