#include "gentianlug/rollout/pacing.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

using std::chrono::milliseconds;

/// An increase by less than this factor is postponed until the concurrency
/// limits allow a larger one.
static constexpr double MinIncreaseFactor = 1.1;

/// Returns the largest share that the new servers have the capacity for.
static double supportedShare(const step_input &Input) {
  if (Input.ConcurrentCalls <= 0 || Input.Share >= MaxCapacityLimitedShare)
    return 1;
  return std::min(1.0, Input.ConcurrencyLimit /
                           (CapacityHeadroom * Input.ConcurrentCalls));
}

static milliseconds stepDuration(const step_input &Input) {
  if (Input.FixedStepDuration)
    return *Input.FixedStepDuration;
  // The time at the largest share before the completion counts as one step.
  double Steps =
      1 + std::ceil(std::log2(MaxShareBeforeCompletion / Input.Share));
  auto Planned = std::chrono::duration_cast<milliseconds>(
      Input.TimeLeft * (PlannedTimeFraction / std::max(1.0, Steps)));
  return std::clamp<milliseconds>(Planned, MinStepDuration, MaxStepDuration);
}

rollout_step nextStep(const step_input &Input) {
  if (Input.Share <= 0) {
    double First = std::min(Input.InitialShare, supportedShare(Input));
    return First > 0 ? rollout_step{step_kind::Increase, First}
                     : rollout_step{};
  }
  if (Input.Verdict != verdict_kind::Pass ||
      Input.CallsSinceStep < MinCallsPerStep ||
      Input.TimeSinceStep < stepDuration(Input))
    return {};
  if (Input.Share >= MaxShareBeforeCompletion)
    return {step_kind::Complete, 1};
  double Next = std::min(
      {2 * Input.Share, MaxShareBeforeCompletion, supportedShare(Input)});
  if (Next < MaxShareBeforeCompletion && Next < Input.Share * MinIncreaseFactor)
    return {};
  return {step_kind::Increase, Next};
}

double nonIdempotentShare(double Share) {
  return Share < ReducedNonIdempotentLimit ? Share / 2 : Share;
}

} // namespace gentianlug::rollout
