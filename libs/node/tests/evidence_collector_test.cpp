#include "evidence_collector.h"

#include <numeric>

// Included after the standard headers, since it redefines `new`.
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

// Guards against rollout decisions based on latencies of a cold server or of
// failed calls.
TEST(evidence_collector, CountsLatenciesOfSuccessfulCallsWhileWarm) {
  Collector.add(route_name("r"), false, microseconds(700));
  Collector.add(route_name("r"), true, microseconds(700));
  Collector.add(route_name("r"), false, std::nullopt);
  rollout::server_evidence Report;
  Collector.moveInto(Report);
  CHECK_EQUAL(1U, Report.Routes.size());
  CHECK_EQUAL(3U, Report.Routes[0].Calls);
  CHECK_EQUAL(1U, Report.Routes[0].Errors);
  CHECK_EQUAL(1U, latencies(Report.Routes[0]));
}

// Guards against calls counted in two reports, and against reports with the
// same sequence number.
TEST(evidence_collector, EachReportStartsEmpty) {
  rollout::server_evidence First;
  rollout::server_evidence Second;
  Collector.add(route_name("r"), false, std::nullopt);
  Collector.moveInto(First);
  CHECK(Collector.empty());
  Collector.add(route_name("r"), false, std::nullopt);
  Collector.moveInto(Second);
  CHECK_EQUAL(1U, Second.Routes[0].Calls);
  CHECK(Second.Sequence > First.Sequence);
}

// Guards against a report that grows without bound with the route names of
// callers.
TEST(evidence_collector, BoundsTheNumberOfRoutesInAReport) {
  for (int Route = 0; Route < 200; ++Route)
    Collector.add(route_name("r" + std::to_string(Route)), false, std::nullopt);
  rollout::server_evidence Report;
  Collector.moveInto(Report);
  CHECK_EQUAL(MaxEvidenceRoutes + 1, Report.Routes.size());
}
