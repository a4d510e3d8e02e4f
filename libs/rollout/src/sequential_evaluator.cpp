#include "gentianlug/rollout/sequential_evaluator.h"

#include "detail/route_sequential_test.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace gentianlug::rollout {

using detail::route_sequential_test;

static constexpr double MetricsPerRoute = 3;

/// A route with at most this fraction of the calls of the old version is not
/// required for a `Pass` verdict, because the test for it would take too long.
static constexpr double MinRelevantFraction = 0.02;

struct sequential_evaluator::impl {
  std::map<route_name, route_sequential_test> Routes;

  double minRelevantCalls() const {
    double Sum = 0;
    for (const auto &[Name, Route] : Routes)
      Sum += Route.oldCalls();
    return Sum * MinRelevantFraction;
  }

  verdict_kind passOrUndecided() const {
    double MinCalls = minRelevantCalls();
    bool AnyRelevant = false;
    for (const auto &[Name, Route] : Routes) {
      if (Route.isSuspect())
        return verdict_kind::Undecided;
      if (Route.oldCalls() <= MinCalls)
        continue;
      if (!Route.isFaultRefuted())
        return verdict_kind::Undecided;
      AnyRelevant = true;
    }
    return AnyRelevant ? verdict_kind::Pass : verdict_kind::Undecided;
  }
};

sequential_evaluator::sequential_evaluator() : Impl(std::make_unique<impl>()) {}
sequential_evaluator::~sequential_evaluator() = default;

void sequential_evaluator::start(evaluation_scope Scope) {
  double Metrics =
      MetricsPerRoute * double(std::max<std::size_t>(1, Scope.Routes.size()));
  double LogThreshold = std::log(Metrics / Scope.FalseAlarmRate);
  double Evaluations =
      std::max(1.0, std::ceil(std::chrono::duration<double>(Scope.Horizon) /
                              EvaluationPeriod));
  Impl->Routes.clear();
  for (const route_name &Route : Scope.Routes)
    Impl->Routes.emplace(Route,
                         route_sequential_test(LogThreshold, 1 / Evaluations));
}

void sequential_evaluator::add(version_role Role,
                               const server_evidence &Evidence) {
  for (const route_evidence &Calls : Evidence.Routes)
    if (auto Found = Impl->Routes.find(Calls.Route);
        Found != Impl->Routes.end())
      Found->second.add(Role, Calls);
}

verdict sequential_evaluator::evaluate() {
  for (auto &[Name, Route] : Impl->Routes) {
    Route.closeBlock();
    if (std::string Fault = Route.faultDescription(); !Fault.empty())
      return {verdict_kind::Fail, "route " + Name.str() + ": " + Fault};
  }
  return {Impl->passOrUndecided(), ""};
}

double sequential_evaluator::oldErrorRate() const {
  double Calls = 0;
  double Errors = 0;
  for (const auto &[Name, Route] : Impl->Routes) {
    Calls += Route.oldCalls();
    Errors += Route.oldErrors();
  }
  return (Errors + 1) / (Calls + 1);
}

} // namespace gentianlug::rollout
