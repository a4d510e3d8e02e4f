#include "gentianlug/rollout/pacing.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::rollout {

using std::chrono::milliseconds;

/// A raise by less than this factor waits until the allowances permit more.
static constexpr double SmallestRaise = 1.1;

/// Returns the share that the new servers bear.
static double bearableShare(const pace_input &Input) {
  if (Input.CallsAtATime <= 0 || Input.Share >= ProvenShare)
    return 1;
  return std::min(1.0,
                  Input.Allowance / (AllowanceHeadroom * Input.CallsAtATime));
}

static milliseconds stepTime(const pace_input &Input) {
  if (Input.FixedStep)
    return *Input.FixedStep;
  // The time at the full share before `done` counts as one step.
  double Steps = 1 + std::ceil(std::log2(FullShare / Input.Share));
  auto Planned = std::chrono::duration_cast<milliseconds>(
      Input.TimeLeft * (PlannedPart / std::max(1.0, Steps)));
  return std::clamp<milliseconds>(Planned, ShortestStep, LongestStep);
}

pace nextPace(const pace_input &Input) {
  if (Input.Share <= 0) {
    double First = std::min(Input.FirstShare, bearableShare(Input));
    return First > 0 ? pace{pace_step::Raise, First} : pace{};
  }
  if (Input.Verdict != verdict_kind::MayGrow ||
      Input.CallsSinceStep < CallsPerStep || Input.SinceStep < stepTime(Input))
    return {};
  if (Input.Share >= FullShare)
    return {pace_step::Finish, 1};
  double Next = std::min({2 * Input.Share, FullShare, bearableShare(Input)});
  if (Next < FullShare && Next < Input.Share * SmallestRaise)
    return {};
  return {pace_step::Raise, Next};
}

double nonIdempotentShare(double Share) {
  return Share < CautiousShare ? Share / 2 : Share;
}

} // namespace gentianlug::rollout
