#include "gentianlug/rollout/fixed_threshold_evaluator.h"
#include "gentianlug/rollout/sequential_evaluator.h"
#include "traffic.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

static constexpr std::chrono::milliseconds Horizon{60000};
static constexpr int Judgements = int(Horizon / EvaluationPeriod);

/// Calls on route "stock" and a quarter of them on route "orders", split by a
/// share.
struct simulated_service {
  generator Gen;
  behaviour Old;
  behaviour NewStock;
  behaviour NewOrders;
  double Share = 0.05;
  /// Calls of route "stock" in 250 ms; 160 calls/s.
  double StockCalls = 40;
  bool NewAreTimed = true;
  sequential_evaluator Verdict;
  std::uint32_t NewCalls = 0;

  explicit simulated_service(std::uint64_t Seed) : Gen(Seed) {
    Verdict.start({{route_name("stock"), route_name("orders")},
                   FalseRollbackRate,
                   Horizon});
  }

  verdict step() {
    server_evidence OldEvidence;
    server_evidence NewEvidence;
    addRoute(OldEvidence, NewEvidence, "stock", StockCalls, NewStock);
    addRoute(OldEvidence, NewEvidence, "orders", StockCalls / 4, NewOrders);
    Verdict.add(version_role::Old, OldEvidence);
    Verdict.add(version_role::New, NewEvidence);
    return Verdict.evaluate();
  }

  void addRoute(server_evidence &OldEvidence, server_evidence &NewEvidence,
                const char *Route, double Calls, const behaviour &New) {
    OldEvidence.Routes.push_back(
        drawCalls(Gen, Route, drawCount(Gen, Calls * (1 - Share)), Old));
    NewEvidence.Routes.push_back(
        drawCalls(Gen, Route, drawCount(Gen, Calls * Share), New));
    if (!NewAreTimed)
      NewEvidence.Routes.back().Latencies = {};
    NewCalls += NewEvidence.Routes.back().Calls;
  }

  /// Returns the judgement that finds the version bad.
  std::optional<int> stepsUntilBad(int Limit) {
    for (int Step = 1; Step <= Limit; ++Step)
      if (step().Kind == verdict_kind::Fail)
        return Step;
    return std::nullopt;
  }
};

static constexpr behaviour Failing{1.0, 5ms, 0.4};
static constexpr behaviour Slow{0, 80ms, 0.4};

TEST_GROUP(sequential_verdict){};

// Guards against good versions that are taken back: noise of both versions,
// over many seeds, must stay within the stated rate (4 standard deviations).
TEST(sequential_verdict, noisyGoodVersionsKeepTheStatedFalseAlarmRate) {
  constexpr int Seeds = 1000;
  const double Expected = Seeds * FalseRollbackRate;
  int Bad = 0;
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Old = {0.02, 8ms, 0.6};
    Service.NewStock = Service.NewOrders = Service.Old;
    Service.Share = Seed % 2 ? 0.05 : 0.5;
    Bad += Service.stepsUntilBad(Judgements).has_value();
  }
  CHECK_TRUE(Bad <= Expected + 4 * std::sqrt(Expected));
}

// Guards against versions with a fault that may grow. The fault is the
// smallest that counts, on the route with few calls.
TEST(sequential_verdict, faultyVersionsMayGrowOnlyWithinTheStatedRate) {
  constexpr int Seeds = 500;
  const double Expected = Seeds * MissedFaultRate;
  int Grown = 0;
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Old = Service.NewStock = {0.01, 5ms, 0.4};
    Service.NewOrders = {0.01 + MinFaultErrorIncrease, 5ms, 0.4};
    for (int Step = 0; Step < Judgements; ++Step) {
      verdict_kind Kind = Service.step().Kind;
      Grown += Kind == verdict_kind::Pass;
      if (Kind != verdict_kind::Undecided)
        break;
    }
  }
  CHECK_TRUE(Grown <= Expected + 4 * std::sqrt(Expected));
}

// Guards against good versions that wait for a verdict until their time.
TEST(sequential_verdict, goodVersionsMayGrowSoon) {
  for (int Seed = 0; Seed < 100; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    verdict_kind Kind = verdict_kind::Undecided;
    int Step = 0;
    for (; Step < 160 && Kind == verdict_kind::Undecided; ++Step)
      Kind = Service.step().Kind;
    CHECK_TRUE(Kind == verdict_kind::Pass);
  }
}

// Guards against cold servers that never get the calls that make them warm.
TEST(sequential_verdict, coldServersWithoutLatenciesMayGrow) {
  simulated_service Service{1};
  Service.NewAreTimed = false;
  verdict_kind Kind = verdict_kind::Undecided;
  for (int Step = 0; Step < Judgements && Kind == verdict_kind::Undecided;
       ++Step)
    Kind = Service.step().Kind;
  CHECK_TRUE(Kind == verdict_kind::Pass);
}

// Guards against a bad version that gets calls for long. No call may come more
// than 2 s after the fault showed; evidence and delivery take 0.5 s of that, so
// 1.5 s remain for the verdict, here at a share of 5% of 400 calls/s.
TEST(sequential_verdict, obviousFaultsAreFoundWithFewCalls) {
  for (int Seed = 0; Seed < 100; ++Seed)
    for (const behaviour &Fault : {Failing, Slow}) {
      simulated_service Service{std::uint64_t(Seed)};
      Service.StockCalls = 80;
      Service.stepsUntilBad(1);
      Service.NewStock = Service.NewOrders = Fault;
      CHECK_TRUE(Service.stepsUntilBad(6).has_value());
    }
}

// Guards against a fault on one route that the calls of other routes hide.
TEST(sequential_verdict, faultOnOneRouteIsFound) {
  for (int Seed = 0; Seed < 100; ++Seed) {
    simulated_service Service{std::uint64_t(Seed)};
    Service.Share = 0.2;
    Service.NewOrders = Failing;
    CHECK_TRUE(Service.stepsUntilBad(8).has_value());
  }
}

// Guards against good evidence that outweighs a fault that shows only later,
// here after 50 s at full share.
TEST(sequential_verdict, lateFaultIsFoundAsFast) {
  for (int Seed = 0; Seed < 30; ++Seed)
    for (const behaviour &Fault : {Failing, Slow}) {
      simulated_service Service{std::uint64_t(Seed)};
      Service.Share = 0.9;
      CHECK_FALSE(Service.stepsUntilBad(200).has_value());
      Service.NewStock = Fault;
      CHECK_TRUE(Service.stepsUntilBad(6).has_value());
    }
}

// Guards against a fault that goes unseen when the old version gets no calls
// any more.
TEST(sequential_verdict, historyStandsForAnOldVersionWithoutCalls) {
  simulated_service Service{3};
  CHECK_FALSE(Service.stepsUntilBad(40).has_value());
  Service.Share = 1;
  CHECK_FALSE(Service.stepsUntilBad(40).has_value());
  Service.NewStock = Failing;
  CHECK_TRUE(Service.stepsUntilBad(12).has_value());
}

TEST_GROUP(fixed_threshold_verdict){};

// Guards against a baseline that is not the rule that it stands for.
TEST(fixed_threshold_verdict, judgesByTheErrorRateOfTheNewVersion) {
  fixed_threshold_evaluator Verdict;
  Verdict.start({});
  CHECK_TRUE(Verdict.evaluate().Kind == verdict_kind::Pass);
  generator Gen(1);
  server_evidence Evidence;
  Evidence.Routes.push_back(drawCalls(Gen, "orders", 20, Failing));
  Verdict.add(version_role::Old, Evidence);
  CHECK_TRUE(Verdict.evaluate().Kind == verdict_kind::Pass);
  Verdict.add(version_role::New, Evidence);
  CHECK_TRUE(Verdict.evaluate().Kind == verdict_kind::Fail);
}
