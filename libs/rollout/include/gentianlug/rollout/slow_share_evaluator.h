#ifndef GENTIANLUG_ROLLOUT_SLOW_SHARE_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_SLOW_SHARE_EVALUATOR_H

#include "gentianlug/rollout/version_evaluator.h"

#include <memory>

namespace gentianlug::rollout {

/// Logarithm of the likelihood ratio of an alternative at which a version
/// counts as slow. A good version reaches it with a probability of about its
/// negative exponential, 0.0025.
inline constexpr double SlowVerdictBound = 6;
/// Logarithm of the likelihood ratio at which an alternative counts as ruled
/// out.
inline constexpr double SlowRefutationBound = -1;
/// Logarithm of the likelihood ratio above which evidence contradicts a `Pass`.
inline constexpr double SlowDoubtBound = 3;

/// Decides whether a share of the calls of the new version takes several times
/// as long as calls of the old version.
///
/// Calls of all routes count together: a latency is measured in buckets above
/// the median of the old version on the same route. The distribution of the old
/// version in the same periods, without the differences between its servers and
/// weighted like the calls of the new version, is the null hypothesis. The
/// alternatives are mixtures of it with the same distribution slowed down, from
/// 12% of the calls and a factor of 3 upwards. Each server may also be faster
/// or slower as a whole, up to a factor of 2.8, and one server alone cannot
/// decide. Calls that still run, or that were canceled, count with the time
/// that they have run.
///
/// `Fail`: a fault is likely, over all evidence or over that of the last
/// seconds. `Pass`: each alternative is ruled out by one of these, and the
/// other does not contradict.
class slow_share_evaluator final : public version_evaluator {
public:
  slow_share_evaluator();
  ~slow_share_evaluator() override;

  void start(evaluation_scope Scope) override;
  void add(version_role Role, const server_evidence &Evidence) override;
  verdict evaluate() override;
  /// Errors are not evaluated here; returns 1.
  double oldErrorRate() const override { return 1; }

  /// Returns the logarithm of the largest likelihood ratio of an alternative
  /// at the last evaluation, over all evidence; positive if a fault is more
  /// likely than none, 0 without evidence.
  double logFaultRatio() const;
  /// Returns whether at the last evaluation a fault was less likely than none,
  /// by less evidence than a `Pass` needs.
  bool isFaultUnlikely() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_SLOW_SHARE_EVALUATOR_H
