#include "gentianlug/rollout/fixed_threshold_verdict.h"

namespace gentianlug::rollout {

void fixed_threshold_verdict::start(verdict_scope) {
  Old = {};
  New = {};
}

void fixed_threshold_verdict::add(rollout_side Side,
                                  const server_evidence &Evidence) {
  counts &Counts = Side == rollout_side::Old ? Old : New;
  for (const route_evidence &Route : Evidence.Routes) {
    Counts.Calls += Route.Calls;
    Counts.Errors += Route.Errors;
  }
}

verdict fixed_threshold_verdict::judge() {
  if (New.Calls >= FixedLeastCalls &&
      double(New.Errors) > FixedErrorThreshold * double(New.Calls))
    return {verdict_kind::Bad, std::to_string(New.Errors) + " errors in " +
                                   std::to_string(New.Calls) + " calls"};
  return {verdict_kind::MayGrow, ""};
}

double fixed_threshold_verdict::oldErrorRate() const {
  return double(Old.Errors + 1) / double(Old.Calls + 1);
}

} // namespace gentianlug::rollout
