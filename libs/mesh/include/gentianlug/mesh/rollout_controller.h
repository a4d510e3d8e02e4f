#ifndef GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H
#define GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/exposure_limit.h"
#include "gentianlug/mesh/version_policy.h"
#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/sequential_evaluator.h"
#include "gentianlug/rollout/slow_share_evaluator.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace gentianlug::mesh {

/// State of the mesh that the decisions of a controller depend on.
struct rollout_context {
  std::size_t ReadyNewServers = 0;
  /// Longest time that a call of the service may run.
  std::chrono::milliseconds MaxCallDuration{0};
};

/// Calls of one version that have been reported.
struct version_counts {
  std::uint64_t Calls = 0;
  std::uint64_t Errors = 0;
  /// Calls with a known latency.
  std::uint64_t Timed = 0;
  /// Calls that the servers have received.
  std::uint64_t Starts = 0;
};

/// Controls one rollout until it is completed or rolled back.
///
/// The new version receives a small share of the calls, then a larger share,
/// and then all calls while the old servers finish theirs. After that the
/// rollout is completed. A fault at any stage rolls it back. The new version
/// receives all calls only when the evidence speaks against a fault, and the
/// rollout is completed only when a fault is ruled out; missing evidence rolls
/// it back. Until then the calls to the new version are counted and stay within
/// the limit for exposure, see `allowedNewCalls`.
class rollout_controller {
public:
  /// \param InitialRecord the rollout record in the store, read at \p Now.
  /// \param Routes routes of the service.
  rollout_controller(rollout_record InitialRecord, version_name OldVersion,
                     std::vector<route_name> Routes, mesh_bounds Bounds,
                     steady_time Now);

  void onEvidence(const rollout::server_evidence &Evidence);
  /// Evaluates the evidence; call it once per `rollout::EvaluationPeriod`.
  void evaluate();
  /// Updates the record after it has been written or read.
  void onRecord(const rollout_record &Record, steady_time Now);
  /// Returns the next record to write, if a change is due.
  std::optional<rollout_record> nextRecord(const rollout_context &Context,
                                           steady_time Now) const;

  const rollout_record &record() const { return Record; }
  const version_counts &oldCounts() const { return OldCounts; }
  const version_counts &newCounts() const { return NewCounts; }
  const rollout::verdict &verdict() const { return LastVerdict; }
  /// Returns the logarithm of the likelihood ratio of a share of slow calls.
  double logSlowRatio() const { return SlowEvaluator.logFaultRatio(); }

private:
  /// Enters the old version in a record that names no base version.
  void nameBaseVersion();
  std::chrono::milliseconds elapsed(steady_time Now) const;
  rollout_record makeRecord(rollout_stage Stage, double Share,
                            std::string Reason, steady_time Now) const;
  rollout_progress progress(steady_time Now) const;
  /// Returns the next record while the new version receives all calls.
  std::optional<rollout_record>
  nextWhileSwitching(const rollout_context &Context, steady_time Now) const;
  /// Returns the next record while the new version receives a share.
  std::optional<rollout_record> nextWhileRunning(const rollout_context &Context,
                                                 steady_time Now) const;
  /// Returns whether the evidence so far makes a fault less likely than none.
  bool isFaultUnlikely() const;
  /// Returns whether the evidence so far rules out a fault.
  bool isFaultRuledOut() const;
  bool errorsWithinTolerance() const;
  /// Returns the error rate of the old version in the last evaluations before
  /// the switch, if it had enough calls.
  std::optional<double> recentOldErrorRate(std::size_t Evaluations) const;
  /// Returns whether the old version has no more errors than usual. A fault of
  /// all servers would hide one of the new version.
  bool isOldVersionCalm() const;
  /// Returns whether the nodes have quarantined half of the new servers or
  /// more. Their errors stay few, because they receive no calls.
  bool isMostlyQuarantined(const rollout_context &Context) const;
  /// Returns the error rate of the old version: since the start, or in its last
  /// periods with calls if that is higher.
  double oldErrorRate() const;

  rollout_record Record;
  version_name OldVersion;
  mesh_bounds Bounds;
  rollout::sequential_evaluator Evaluator;
  rollout::slow_share_evaluator SlowEvaluator;
  rollout::verdict LastVerdict;
  rollout::verdict SlowVerdict;
  version_counts OldCounts;
  version_counts NewCounts;
  /// `OldCounts` after each of the last evaluations until the switch, oldest
  /// first; at most `RecentEvaluations`.
  std::deque<version_counts> RecentOldCounts;
  /// Lowest error rate of the old version over `RecentEvaluations`.
  std::optional<double> LowestOldErrorRate;
  /// Nodes that have quarantined their server of the new version.
  std::set<node_id> QuarantinedNodes;
  /// Calls of the new version before it received all calls, if this controller
  /// has seen the switch.
  std::optional<version_counts> AtSwitch;
  /// The rollout has changed its controller since the switch.
  bool Succeeded = false;
  /// When `Record.Elapsed` was current.
  steady_time ElapsedObservedAt;
  /// When the stage or the share last changed.
  steady_time StepStartedAt;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_ROLLOUT_CONTROLLER_H
