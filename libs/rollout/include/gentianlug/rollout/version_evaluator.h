#ifndef GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H

#include "gentianlug/rollout/evidence.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianlug::rollout {

enum class verdict_kind : std::uint8_t {
  /// Not enough evidence, or signs of a fault that do not decide yet.
  Undecided,
  /// The share may grow.
  Pass,
  /// The new version is faulty.
  Fail,
};

struct verdict {
  verdict_kind Kind = verdict_kind::Undecided;
  /// Route and figures behind a bad verdict, for operators.
  std::string Reason;
};

/// What a verdict is asked for.
struct evaluation_scope {
  /// Routes of the service; evidence of other routes is ignored.
  std::vector<route_name> Routes;
  /// Probability of a bad verdict on a good version, over the whole life of
  /// the verdict.
  double FalseAlarmRate = 0;
  /// Time for which judgements will be asked for.
  std::chrono::milliseconds Horizon{0};
};

enum class version_role : std::uint8_t { Old, New };

/// Judges a new version by evidence of both versions.
class version_evaluator {
public:
  virtual ~version_evaluator() = default;

  /// Forgets all evidence and starts with a new scope.
  virtual void start(evaluation_scope Scope) = 0;

  /// Adds evidence of one server. The caller drops repeated evidence.
  virtual void add(version_role Side, const server_evidence &Evidence) = 0;

  /// Judges all evidence so far. Call it once each `EvaluationPeriod`; the
  /// evidence between two calls counts as simultaneous.
  virtual verdict evaluate() = 0;

  /// Returns the error rate of the old version, 0 to 1, rather too high while
  /// few calls are known: one more error is assumed than was seen.
  virtual double oldErrorRate() const = 0;
};

/// Time between two judgements, the period of evidence.
inline constexpr std::chrono::milliseconds EvaluationPeriod{250};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H
