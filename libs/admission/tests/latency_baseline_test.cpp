#include "gentianlug/admission/latency_baseline.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using std::chrono::microseconds;

TEST_GROUP(latency_baseline) {
  latency_baseline Baseline;
  route_name Fast{"fast"};
  route_name Slow{"slow"};

  void addSamples(const route_name &Route, int Micros) {
    for (int Call = 0; Call < 200; ++Call)
      Baseline.addSample(Route, microseconds(Micros), true);
  }
};

// Guards against taking a slow route for a slow server.
TEST(latency_baseline, ComparesEachRouteWithItself) {
  addSamples(Fast, 2000);
  addSamples(Slow, 80000);
  CHECK_FALSE(Baseline.addSample(Slow, microseconds(81000), true).IsSpike);
  CHECK(Baseline.addSample(Fast, microseconds(40000), true).IsSpike);
}

// Guards against taking a scheduling delay for a spike.
TEST(latency_baseline, SmallExcessIsNoSpike) {
  addSamples(Fast, 1000);
  CHECK_FALSE(Baseline.addSample(Fast, microseconds(4000), true).IsSpike);
}

// Guards against latencies of a cold server that raise the baseline.
TEST(latency_baseline, ColdLatenciesDoNotRaiseTheBaseline) {
  addSamples(Fast, 10000);
  for (int Call = 0; Call < 10000; ++Call)
    Baseline.addSample(Fast, microseconds(30000), false);
  CHECK(Baseline.addSample(Fast, microseconds(30000), false).IsSpike);
}

// Guards against an estimate that calls exceed within their normal variation.
TEST(latency_baseline, TailLatencyCoversTheVariation) {
  CHECK_EQUAL(0, Baseline.tailLatency(Fast).count());
  for (int Call = 0; Call < 400; ++Call)
    Baseline.addSample(Fast, microseconds(Call % 2 ? 8000 : 12000), true);
  CHECK(Baseline.tailLatency(Fast) >= microseconds(12000));
}
