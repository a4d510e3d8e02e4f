#include "gentianlug/rollout/consecutive_error_detector.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;

TEST_GROUP(consecutive_error_detector) {
  consecutive_error_detector Detector;

  void setup() override { Detector.start(0); }

  bool add(const char *Route, std::uint32_t Calls, std::uint32_t Errors) {
    server_evidence Evidence;
    Evidence.Routes.push_back({route_name(Route), Calls, Errors, {}});
    return Detector.add(Evidence);
  }
};

// Guards against a node that continues to send calls to a server that fails all
// of them.
TEST(consecutive_error_detector, consecutiveErrorsOnOneRouteQuarantine) {
  LONGS_EQUAL(3, Detector.errorThreshold());
  CHECK_FALSE(add("orders", 1, 1));
  CHECK_FALSE(add("stock", 5, 0));
  CHECK_TRUE(add("orders", 2, 2));
}

// Guards against a quarantine because of noise.
TEST(consecutive_error_detector, aSuccessEndsTheRun) {
  CHECK_FALSE(add("orders", 2, 2));
  CHECK_FALSE(add("orders", 4, 3));
  CHECK_FALSE(add("orders", 2, 2));
}

// Guards against a quarantine when the old version has as many errors.
TEST(consecutive_error_detector, errorsOfTheOldVersionRaiseTheThreshold) {
  Detector.start(0.2);
  CHECK_TRUE(Detector.errorThreshold() > 10);
  CHECK_FALSE(add("orders", 10, 10));
  Detector.start(1);
  CHECK_FALSE(add("orders", 100, 100));
}
