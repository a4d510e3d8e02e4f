#include "gentianlug/admission/gradient_limit.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;

TEST_GROUP(gradient_limit) {
  manual_clock Clock;
  gradient_limit Limit;

  void setup() override { Limit.reset(10, Clock.steadyNow()); }

  void answer(double Ratio, std::uint32_t InFlight, int Count) {
    for (int Call = 0; Call < Count; ++Call)
      Limit.addSample({false, Ratio, false, InFlight, Clock.steadyNow(),
                       Clock.steadyNow()});
  }
};

// Guards against a limit that starts low and wastes a healthy server.
TEST(gradient_limit, StartsFromSlotsAndStaysThere) {
  CHECK_EQUAL(10U, Limit.limit());
  answer(1, 10, 1000);
  CHECK_EQUAL(10U, Limit.limit());
}

// Guards against a limit that ignores a server that queues inside.
TEST(gradient_limit, ShrinksWithLatencyButNotBelowOne) {
  answer(4, 10, 200);
  CHECK(Limit.limit() <= 5);
  answer(1000, 10, 1000);
  CHECK(Limit.limit() >= 1);
}

// Guards against a limit that stays low after the trouble has passed.
TEST(gradient_limit, RecoversToSlots) {
  answer(4, 10, 200);
  answer(1, 2, 200);
  CHECK_EQUAL(10U, Limit.limit());
}

// Guards against shrinking for latency that load cannot have caused.
TEST(gradient_limit, KeepsTheLimitWhileLoadIsLow) {
  answer(4, 1, 200);
  CHECK_EQUAL(10U, Limit.limit());
}
