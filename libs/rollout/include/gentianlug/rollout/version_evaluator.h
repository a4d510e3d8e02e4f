#ifndef GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H
#define GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H

#include "gentianlug/rollout/evidence.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianlug::rollout {

enum class verdict_kind : std::uint8_t {
  /// Not enough evidence, or evidence of a fault that is not yet conclusive.
  Undecided,
  /// No fault was found; the share of the new version may increase.
  Pass,
  /// The new version is faulty.
  Fail,
};

/// Returns the name of the kind that is used in logs.
const char *describe(verdict_kind Kind);

struct verdict {
  verdict_kind Kind = verdict_kind::Undecided;
  /// Route and figures of a `Fail` verdict, for operators.
  std::string Reason;
};

/// Routes, error rate and duration of an evaluation.
struct evaluation_scope {
  /// Routes of the service; evidence of other routes is ignored.
  std::vector<route_name> Routes;
  /// Probability of a `Fail` verdict on a good version, over the whole
  /// evaluation.
  double FalseAlarmRate = 0;
  /// Time over which `evaluate` will be called.
  std::chrono::milliseconds Horizon{0};
};

enum class version_role : std::uint8_t { Old, New };

/// Evaluates a new version by evidence of both versions.
class version_evaluator {
public:
  virtual ~version_evaluator() = default;

  /// Discards all evidence and starts with a new scope.
  virtual void start(evaluation_scope Scope) = 0;

  /// Adds evidence of one server. The caller must drop duplicates.
  virtual void add(version_role Role, const server_evidence &Evidence) = 0;

  /// Returns the verdict on all evidence so far. Must be called once per
  /// `EvaluationPeriod`; the evidence between two calls counts as simultaneous.
  virtual verdict evaluate() = 0;

  /// Returns the error rate of the old version, 0 to 1. The estimate assumes
  /// one more error than was observed, so that it tends to be too high while
  /// few calls are known.
  virtual double oldErrorRate() const = 0;
};

/// Time between two evaluations, and the period that one report of evidence
/// covers.
inline constexpr std::chrono::milliseconds EvaluationPeriod{250};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_VERSION_EVALUATOR_H
