#include "evidence_collector.h"

#include <numeric>

// After the standard headers, since it redefines new.
#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::node;
using std::chrono::microseconds;

TEST_GROUP(evidence_collector) {
  evidence_collector Collector;

  static std::uint32_t latencies(const rollout::route_evidence &Route) {
    return std::accumulate(Route.Latencies.begin(), Route.Latencies.end(), 0U);
  }
};

// Guards against a verdict on latencies of a cold server or of failed calls.
TEST(evidence_collector, CountsLatenciesOfGoodCallsWhileWarm) {
  Collector.add(route_name("r"), false, microseconds(700));
  Collector.add(route_name("r"), true, microseconds(700));
  Collector.add(route_name("r"), false, std::nullopt);
  rollout::server_evidence Report;
  Collector.takeInto(Report);
  CHECK_EQUAL(1U, Report.Routes.size());
  CHECK_EQUAL(3U, Report.Routes[0].Calls);
  CHECK_EQUAL(1U, Report.Routes[0].Errors);
  CHECK_EQUAL(1U, latencies(Report.Routes[0]));
}

// Guards against calls that two reports count, and reports that look repeated.
TEST(evidence_collector, EachReportStartsFromNothing) {
  rollout::server_evidence First;
  rollout::server_evidence Second;
  Collector.add(route_name("r"), false, std::nullopt);
  Collector.takeInto(First);
  CHECK(Collector.empty());
  Collector.add(route_name("r"), false, std::nullopt);
  Collector.takeInto(Second);
  CHECK_EQUAL(1U, Second.Routes[0].Calls);
  CHECK(Second.Sequence > First.Sequence);
}

// Guards against a table that callers make grow without a bound.
TEST(evidence_collector, BoundsTheRoutesOfAReport) {
  for (int Route = 0; Route < 200; ++Route)
    Collector.add(route_name("r" + std::to_string(Route)), false, std::nullopt);
  rollout::server_evidence Report;
  Collector.takeInto(Report);
  CHECK_EQUAL(MaxEvidenceRoutes + 1, Report.Routes.size());
}
