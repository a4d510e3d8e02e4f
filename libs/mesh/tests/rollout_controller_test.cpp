#include "gentianlug/mesh/rollout_controller.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <limits>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(RolloutConductor) {
  steady_time Now{1h};
  steady_time Ordered{1h};
  std::unique_ptr<rollout_controller> Conductor;
  generator Gen{3};
  double OldErrors = 0.002;
  double NewErrors = 0;
  /// Calls that the new servers take before their nodes cut them off.
  std::uint64_t MostNewCalls = std::numeric_limits<std::uint64_t>::max();
  /// Stages that were written, with their shares in percent.
  std::string Written;
  std::uint64_t NewCalls = 0;
  std::uint64_t AllCalls = 0;

  void setup() override {
    rollout_record Order;
    Order.Service = service_name("s");
    Order.TargetVersion = version_name("v2");
    Order.Duration = 16s;
    Conductor = std::make_unique<rollout_controller>(
        Order, version_name("v1"), std::vector<route_name>{route_name("r")},
        mesh_bounds{}, Now);
  }
  rollout::server_evidence evidence(const char *Version, std::uint32_t Calls,
                                    double ErrorRate) {
    rollout::server_evidence Evidence;
    Evidence.Service = service_name("s");
    Evidence.Version = version_name(Version);
    rollout::route_evidence Row;
    Row.Route = route_name("r");
    Row.Calls = Calls;
    for (std::uint32_t Call = 0; Call < Calls; ++Call) {
      if (drawChance(Gen, ErrorRate))
        ++Row.Errors;
      else
        ++Row.Latencies[rollout::latencyBucket(50ms)];
    }
    Evidence.Routes = {Row};
    return Evidence;
  }
  /// One period at 120 calls a second.
  void step(std::size_t NewServers = 2) {
    Now += 250ms;
    const rollout_record &Record = Conductor->record();
    constexpr double CallsPerPeriod = 30;
    bool Serves = Record.Stage == rollout_stage::Running ||
                  Record.Stage == rollout_stage::Switching;
    auto New =
        Serves
            ? std::uint32_t(std::lround(CallsPerPeriod * Record.TrafficShare))
            : 0;
    New = std::uint32_t(std::min<std::uint64_t>(New, MostNewCalls - NewCalls));
    auto Old = std::uint32_t(CallsPerPeriod) - New;
    NewCalls += New;
    AllCalls += New + Old;
    Conductor->onEvidence(evidence("v1", Old, OldErrors));
    Conductor->onEvidence(evidence("v2", New, NewErrors));
    Conductor->evaluate();
    if (auto Next = Conductor->nextRecord({NewServers, 1000ms}, Now)) {
      static const char *Names[] = {"ordered", "running", "switching",
                                    "completed", "rolled-back"};
      Written += std::string(Written.empty() ? "" : " ") +
                 Names[int(Next->Stage)] + "/" +
                 std::to_string(std::lround(Next->TrafficShare * 100));
      Conductor->onRecord(*Next, Now);
    }
  }
  void runUntilEnd(std::size_t NewServers = 2) {
    while (Now < Ordered + 16s)
      step(NewServers);
  }
};

TEST(RolloutConductor, GoodVersionCompletesInTime) {
  runUntilEnd();
  STRCMP_EQUAL("running/5 running/15 switching/100 completed/100",
               Written.c_str());
}

// Guards against old servers that are stopped while calls are on their way to
// them: they go on for the longest call after the switch.
TEST(RolloutConductor, SwitchLastsLongerThanTheLongestCall) {
  while (Conductor->record().Stage != rollout_stage::Switching)
    step();
  auto Since = Now;
  while (Conductor->record().Stage != rollout_stage::Completed)
    step();
  CHECK(Now - Since >= 1500ms);
}

TEST(RolloutConductor, FailingVersionIsTakenBackWithinItsExposure) {
  NewErrors = 0.5;
  runUntilEnd();
  STRCMP_EQUAL("running/5 rolled-back/0", Written.c_str());
  CHECK(double(NewCalls) <= 0.1 * double(AllCalls) + 50);
}

// Guards against a bad version that gets all calls because the old one fails
// often for another reason, and the nodes of the new one have cut it off before
// the verdict is certain (beaudoin-glu trouble-1 --seed 595122149319).
TEST(RolloutConductor, FaultsOfTheOldVersionExcuseNoBadOne) {
  OldErrors = 0.42;
  NewErrors = 0.76;
  MostNewCalls = 41;
  runUntilEnd();
  STRCMP_EQUAL("running/5 rolled-back/0", Written.c_str());
}

TEST(RolloutConductor, GoodVersionCompletesWhileBothFailOften) {
  OldErrors = NewErrors = 0.3;
  runUntilEnd();
  STRCMP_EQUAL("running/5 running/15 switching/100 completed/100",
               Written.c_str());
}

// Guards against a node that takes over after the switch and completes the
// rollout without having heard of a single call.
TEST(RolloutConductor, SuccessorWaitsForEvidenceAfterTheSwitch) {
  while (Conductor->record().Stage != rollout_stage::Switching)
    step();
  Conductor = std::make_unique<rollout_controller>(
      Conductor->record(), version_name("v1"),
      std::vector<route_name>{route_name("r")}, mesh_bounds{}, Now);
  auto Patient = Now + 3s;
  CHECK_FALSE(Conductor->nextRecord({2, 1000ms}, Patient).has_value());
  Conductor->onEvidence(evidence("v2", 20, 0));
  CHECK(Conductor->nextRecord({2, 1000ms}, Patient)->Stage ==
        rollout_stage::Completed);
}

TEST(RolloutConductor, VersionThatFailsLateIsTakenBack) {
  while (Now < Ordered + 5s)
    step();
  NewErrors = 0.5;
  runUntilEnd();
  STRCMP_EQUAL("running/5 rolled-back/0", Written.c_str());
  CHECK(double(NewCalls) <= 0.1 * double(AllCalls) + 50);
}

TEST(RolloutConductor, VersionThatFailsUnderFullLoadIsTakenBack) {
  while (Conductor->record().Stage != rollout_stage::Switching)
    step();
  NewErrors = 0.5;
  runUntilEnd();
  CHECK(Written.ends_with("rolled-back/0"));
  CHECK(double(NewCalls) <= 0.1 * double(AllCalls) + 50);
}

TEST(RolloutConductor, VersionWithoutServersIsTakenBackInTime) {
  runUntilEnd(0);
  STRCMP_EQUAL("rolled-back/0", Written.c_str());
}

// Guards against a successor that starts the clock of the rollout anew.
TEST(RolloutConductor, SuccessorGoesOnFromTheElapsedTime) {
  while (Now < Ordered + 8s)
    step();
  rollout_record Taken = Conductor->record();
  rollout_controller Next(Taken, version_name("v1"), {route_name("r")},
                          mesh_bounds{}, Now);
  auto Late = Next.nextRecord({2, 1000ms}, Now + 6s);
  CHECK(Late && Late->Stage == rollout_stage::RolledBack);
}
