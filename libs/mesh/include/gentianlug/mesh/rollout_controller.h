#ifndef GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H
#define GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/version_policy.h"
#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/sequential_evaluator.h"

#include <map>
#include <memory>

namespace gentianlug::mesh {

/// What a conductor needs to know of the mesh at a moment.
struct rollout_context {
  /// Servers of the new version that are ready.
  std::size_t ReadyNewServers = 0;
  /// Longest time that a call of the service may run.
  std::chrono::milliseconds MaxCallDuration{0};
};

/// Calls of one version that evidence has told of.
struct version_counts {
  std::uint64_t Calls = 0;
  std::uint64_t Errors = 0;
};

/// Steers one rollout from its order to its end.
///
/// The new version starts with a small share, gets a larger one for a short
/// time, and then all calls while the old servers finish theirs; only then is
/// the rollout completed. A fault at any stage takes it back. The sum of calls
/// that a version gets before a fault would show stays below the bound.
class rollout_controller {
public:
  /// \param Order the rollout as the store shows it, seen at \p Now.
  /// \param Routes routes of the service.
  rollout_controller(rollout_record Order, version_name OldVersion,
                     std::vector<route_name> Routes, mesh_bounds Bounds,
                     steady_time Now);

  void onEvidence(const rollout::server_evidence &Evidence);
  /// Judges the evidence; call it once each `rollout::EvaluationPeriod`.
  void evaluate();
  /// Takes the record after a write or a read.
  void onRecord(const rollout_record &Record, steady_time Now);
  /// Returns the record to write next, if one is due.
  std::optional<rollout_record> nextRecord(const rollout_context &Around,
                                           steady_time Now) const;

  const rollout_record &record() const { return Record; }
  const version_counts &oldCounts() const { return OldCounts; }
  const version_counts &newCounts() const { return NewCounts; }

private:
  std::chrono::milliseconds elapsed(steady_time Now) const;
  rollout_record makeRecord(rollout_stage Stage, double Share,
                            std::string Reason, steady_time Now) const;
  bool errorsWithinTolerance() const;

  rollout_record Record;
  version_name OldVersion;
  mesh_bounds Bounds;
  rollout::sequential_evaluator Verdict;
  rollout::verdict LastVerdict;
  version_counts OldCounts;
  version_counts NewCounts;
  steady_time ElapsedObservedAt;
  /// Since when the record has its stage and share.
  steady_time StepStartedAt;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H
