#include "gentianlug/routing/endpoint_table.h"
#include "make_member.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::routing;
using namespace std::chrono_literals;

TEST_GROUP(outlier_detector) {
  manual_clock Clock;
  endpoint_table Table;
  const char *Nodes[3] = {"a", "b", "c"};

  std::optional<ejection> observe(const char *Node, call_outcome Verdict,
                                  std::chrono::microseconds Latency = 5ms) {
    Table.onCallStarted(node_id(Node));
    return Table.onCallFinished(node_id(Node), {Verdict, Latency, {}},
                                Clock.steadyNow());
  }

  std::optional<ejection> failUntilEjected() {
    for (int Count = 0; Count < 3; ++Count)
      if (auto Ejection = observe("a", call_outcome::Failed))
        return Ejection;
    return std::nullopt;
  }

  void setup() override {
    Table.update(
        {makeMember("a", "z"), makeMember("b", "z"), makeMember("c", "z")});
  }
};

// Guards against ejecting a healthy server for isolated failures, for shedding
// load, or for callers that disconnect.
TEST(outlier_detector, OnlyConsecutiveFailuresEject) {
  for (int Count = 0; Count < 20; ++Count) {
    CHECK_FALSE(observe("a", call_outcome::Failed).has_value());
    CHECK_FALSE(observe("a", call_outcome::Failed).has_value());
    CHECK_FALSE(observe("a", call_outcome::Responded).has_value());
    CHECK_FALSE(observe("a", call_outcome::Shed).has_value());
    CHECK_FALSE(observe("a", call_outcome::Canceled).has_value());
  }
  auto Ejection = failUntilEjected();
  CHECK(Ejection.has_value());
  STRCMP_EQUAL("3 calls in a row failed", Ejection->Reason.c_str());
}

// Guards against a broken server that gets calls again every second, and
// against a long ejection because of failures long ago.
TEST(outlier_detector, EjectionTimeGrowsToABoundAndIsReset) {
  std::chrono::milliseconds Expected = 1s;
  for (int Count = 0; Count < 8; ++Count) {
    auto Ejection = failUntilEjected();
    CHECK(Ejection->Duration == std::min(Expected, 60000ms));
    CHECK(Table.find(node_id("a"))->isEjected(Clock.steadyNow()));
    // Calls that were still in flight do not prolong the ejection.
    CHECK_FALSE(failUntilEjected().has_value());
    Clock.advance(Ejection->Duration);
    CHECK_FALSE(Table.find(node_id("a"))->isEjected(Clock.steadyNow()));
    Expected *= 2;
  }
  Clock.advance(60s);
  CHECK(failUntilEjected()->Duration == 1s);
}

// Guards against a server that responds without errors but far too slowly.
TEST(outlier_detector, LatencyFarAboveTheMedianEjects) {
  std::optional<ejection> Ejection;
  for (int Count = 0; Count < 20 && !Ejection; ++Count) {
    CHECK_FALSE(observe("b", call_outcome::Responded, 5ms).has_value());
    CHECK_FALSE(observe("c", call_outcome::Responded, 6ms).has_value());
    Ejection = observe("a", call_outcome::Responded, 60ms);
  }
  CHECK(Ejection.has_value());
  STRCMP_EQUAL("latency 60000 us against a median of 6000 us",
               Ejection->Reason.c_str());
}

// Guards against an ejection because of a difference too small for callers to
// notice.
TEST(outlier_detector, SmallDifferencesDoNotEject) {
  for (int Count = 0; Count < 50; ++Count) {
    CHECK_FALSE(observe("b", call_outcome::Responded, 1ms).has_value());
    CHECK_FALSE(observe("c", call_outcome::Responded, 1ms).has_value());
    CHECK_FALSE(observe("a", call_outcome::Responded, 15ms).has_value());
  }
}
