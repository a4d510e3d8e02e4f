#include "gentianlug/rollout/fixed_threshold_evaluator.h"

namespace gentianlug::rollout {

void fixed_threshold_evaluator::start(evaluation_scope) {
  Old = {};
  New = {};
}

void fixed_threshold_evaluator::add(version_role Role,
                                    const server_evidence &Evidence) {
  counts &Counts = Role == version_role::Old ? Old : New;
  for (const route_evidence &Route : Evidence.Routes) {
    Counts.Calls += Route.Calls;
    Counts.Errors += Route.Errors;
  }
}

verdict fixed_threshold_evaluator::evaluate() {
  if (New.Calls >= FixedMinCalls &&
      double(New.Errors) > FixedErrorThreshold * double(New.Calls))
    return {verdict_kind::Fail, std::to_string(New.Errors) + " errors in " +
                                    std::to_string(New.Calls) + " calls"};
  return {verdict_kind::Pass, ""};
}

double fixed_threshold_evaluator::oldErrorRate() const {
  return double(Old.Errors + 1) / double(Old.Calls + 1);
}

} // namespace gentianlug::rollout
