#include "gentianlug/rollout/fixed_threshold_evaluator.h"
#include "gentianlug/rollout/sequential_evaluator.h"
#include "traffic.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

static constexpr std::chrono::milliseconds Horizon{60000};
static constexpr int Evaluations = int(Horizon / EvaluationPeriod);

/// Simulated calls of both versions on route "stock", and a quarter as many on
/// route "orders".
struct simulated_service {
  generator Gen;
  version_behaviour Old;
  version_behaviour NewStock;
  version_behaviour NewOrders;
  double Share = 0.05;
  /// Calls on route "stock" in 250 ms, which makes 160 calls/s.
  double StockCalls = 40;
  bool NewCallsAreTimed = true;
  sequential_evaluator Evaluator;
  std::uint32_t NewCalls = 0;

  explicit simulated_service(std::uint64_t Seed) : Gen(Seed) {
    Evaluator.start({{route_name("stock"), route_name("orders")},
                     FalseRollbackRate,
                     Horizon});
  }

  verdict step() {
    server_evidence OldEvidence;
    server_evidence NewEvidence;
    addRoute(OldEvidence, NewEvidence, "stock", StockCalls, NewStock);
    addRoute(OldEvidence, NewEvidence, "orders", StockCalls / 4, NewOrders);
    Evaluator.add(version_role::Old, OldEvidence);
    Evaluator.add(version_role::New, NewEvidence);
    return Evaluator.evaluate();
  }

  void addRoute(server_evidence &OldEvidence, server_evidence &NewEvidence,
                const char *Route, double Calls, const version_behaviour &New) {
    OldEvidence.Routes.push_back(
        drawCalls(Gen, Route, drawCount(Gen, Calls * (1 - Share)), Old));
    NewEvidence.Routes.push_back(
        drawCalls(Gen, Route, drawCount(Gen, Calls * Share), New));
    if (!NewCallsAreTimed)
      NewEvidence.Routes.back().Latencies = {};
    NewCalls += NewEvidence.Routes.back().Calls;
  }

  /// Returns the number of the first step with the verdict `Fail`.
  std::optional<int> stepsUntilFail(int Limit) {
    for (int Step = 1; Step <= Limit; ++Step)
      if (step().Kind == verdict_kind::Fail)
        return Step;
    return std::nullopt;
  }
};

static constexpr version_behaviour Failing{1.0, 5ms, 0.4};
static constexpr version_behaviour Slow{0, 80ms, 0.4};

TEST_GROUP(sequential_evaluator){};

// Guards against good versions that fail because of noise in both versions.
// Over many seeds, the number of failures must be within 4 standard deviations
// of the stated rate.
TEST(sequential_evaluator, noisyGoodVersionsKeepTheStatedFalseAlarmRate) {
  constexpr int Seeds = 1000;
  const double Expected = Seeds * FalseRollbackRate;
  int Failed = 0;
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Old = {0.02, 8ms, 0.6};
    Service.NewStock = Service.NewOrders = Service.Old;
    Service.Share = Seed % 2 ? 0.05 : 0.5;
    Failed += Service.stepsUntilFail(Evaluations).has_value();
  }
  CHECK_TRUE(Failed <= Expected + 4 * std::sqrt(Expected));
}

// Guards against faulty versions that pass. The fault is the smallest that must
// be detected, on the route with few calls.
TEST(sequential_evaluator, faultyVersionsPassOnlyWithinTheStatedRate) {
  constexpr int Seeds = 500;
  const double Expected = Seeds * MissedFaultRate;
  int Passed = 0;
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Old = Service.NewStock = {0.01, 5ms, 0.4};
    Service.NewOrders = {0.01 + MinFaultErrorIncrease, 5ms, 0.4};
    for (int Step = 0; Step < Evaluations; ++Step) {
      verdict_kind Kind = Service.step().Kind;
      Passed += Kind == verdict_kind::Pass;
      if (Kind != verdict_kind::Undecided)
        break;
    }
  }
  CHECK_TRUE(Passed <= Expected + 4 * std::sqrt(Expected));
}

// Guards against good versions that stay undecided until the finish time.
TEST(sequential_evaluator, goodVersionsPassSoon) {
  for (int Seed = 0; Seed < 100; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    verdict_kind Kind = verdict_kind::Undecided;
    int Step = 0;
    for (; Step < 160 && Kind == verdict_kind::Undecided; ++Step)
      Kind = Service.step().Kind;
    CHECK_TRUE(Kind == verdict_kind::Pass);
  }
}

// Guards against cold servers that never pass, and therefore never get the
// calls that make them warm.
TEST(sequential_evaluator, coldServersWithoutLatenciesPass) {
  simulated_service Service{1};
  Service.NewCallsAreTimed = false;
  verdict_kind Kind = verdict_kind::Undecided;
  for (int Step = 0; Step < Evaluations && Kind == verdict_kind::Undecided;
       ++Step)
    Kind = Service.step().Kind;
  CHECK_TRUE(Kind == verdict_kind::Pass);
}

// Guards against a faulty version that keeps receiving calls. The last call
// must come within 2 s after the fault appears. Evidence and delivery take
// 0.5 s, so 1.5 s remain for the verdict, here with a share of 5% of 400
// calls/s.
TEST(sequential_evaluator, obviousFaultsAreDetectedWithFewCalls) {
  for (int Seed = 0; Seed < 100; ++Seed)
    for (const version_behaviour &Fault : {Failing, Slow}) {
      simulated_service Service{std::uint64_t(Seed)};
      Service.StockCalls = 80;
      Service.stepsUntilFail(1);
      Service.NewStock = Service.NewOrders = Fault;
      CHECK_TRUE(Service.stepsUntilFail(6).has_value());
    }
}

// Guards against a fault on one route that is masked by the calls of others.
TEST(sequential_evaluator, faultOnOneRouteIsDetected) {
  for (int Seed = 0; Seed < 100; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Share = 0.2;
    Service.NewOrders = Failing;
    CHECK_TRUE(Service.stepsUntilFail(8).has_value());
  }
}

// Guards against earlier good evidence that masks a fault which appears later,
// here after 50 s at a share of 90%.
TEST(sequential_evaluator, lateFaultIsDetectedAsFast) {
  for (int Seed = 0; Seed < 30; ++Seed)
    for (const version_behaviour &Fault : {Failing, Slow}) {
      simulated_service Service{std::uint64_t(Seed)};
      Service.Share = 0.9;
      CHECK_FALSE(Service.stepsUntilFail(200).has_value());
      Service.NewStock = Fault;
      CHECK_TRUE(Service.stepsUntilFail(6).has_value());
    }
}

// Guards against a fault that is not detected because the old version no longer
// receives calls.
TEST(sequential_evaluator, historyReplacesCallsOfTheOldVersion) {
  simulated_service Service{3};
  CHECK_FALSE(Service.stepsUntilFail(40).has_value());
  Service.Share = 1;
  CHECK_FALSE(Service.stepsUntilFail(40).has_value());
  Service.NewStock = Failing;
  CHECK_TRUE(Service.stepsUntilFail(12).has_value());
}

TEST_GROUP(fixed_threshold_evaluator){};

// Guards against a baseline that takes the old version into account.
TEST(fixed_threshold_evaluator, evaluatesTheErrorRateOfTheNewVersionOnly) {
  fixed_threshold_evaluator Evaluator;
  Evaluator.start({});
  CHECK_TRUE(Evaluator.evaluate().Kind == verdict_kind::Pass);
  generator Gen(1);
  server_evidence Evidence;
  Evidence.Routes.push_back(drawCalls(Gen, "orders", 20, Failing));
  Evaluator.add(version_role::Old, Evidence);
  CHECK_TRUE(Evaluator.evaluate().Kind == verdict_kind::Pass);
  Evaluator.add(version_role::New, Evidence);
  CHECK_TRUE(Evaluator.evaluate().Kind == verdict_kind::Fail);
}
