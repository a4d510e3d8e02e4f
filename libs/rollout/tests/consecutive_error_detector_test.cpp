#include "gentianlug/rollout/consecutive_error_detector.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;

TEST_GROUP(local_guard) {
  consecutive_error_detector Guard;

  void setup() override { Guard.start(0); }

  bool add(const char *Route, std::uint32_t Calls, std::uint32_t Errors) {
    server_evidence Evidence;
    Evidence.Routes.push_back({route_name(Route), Calls, Errors, {}});
    return Guard.add(Evidence);
  }
};

// Guards against a node that goes on sending calls to a server that fails all
// of them.
TEST(local_guard, errorsInARowOnOneRouteCut) {
  LONGS_EQUAL(3, Guard.errorThreshold());
  CHECK_FALSE(add("orders", 1, 1));
  CHECK_FALSE(add("stock", 5, 0));
  CHECK_TRUE(add("orders", 2, 2));
}

// Guards against a cut for noise.
TEST(local_guard, aSuccessEndsTheRun) {
  CHECK_FALSE(add("orders", 2, 2));
  CHECK_FALSE(add("orders", 4, 3));
  CHECK_FALSE(add("orders", 2, 2));
}

// Guards against a cut when the old version fails as often.
TEST(local_guard, errorsOfTheOldVersionNeedALongerRun) {
  Guard.start(0.2);
  CHECK_TRUE(Guard.errorThreshold() > 10);
  CHECK_FALSE(add("orders", 10, 10));
  Guard.start(1);
  CHECK_FALSE(add("orders", 100, 100));
}
