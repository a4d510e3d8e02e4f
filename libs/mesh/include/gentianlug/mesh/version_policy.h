#ifndef GENTIANLUG_MESH_VERSION_POLICY_H
#define GENTIANLUG_MESH_VERSION_POLICY_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/core/store_revision.h"
#include "gentianlug/mesh/model.h"

#include <map>
#include <unordered_map>

namespace gentianlug::mesh {

enum class rollout_stage : std::uint8_t {
  /// No node controls the rollout yet; the new version receives no calls.
  Pending,
  /// The new version receives `TrafficShare` of the calls.
  Running,
  /// The new version receives all calls; the old servers finish theirs.
  Switching,
  Completed,
  RolledBack,
};

/// Version of a service outside of rollouts, as stored.
struct base_version {
  version_name Version;
  /// Revision of the stored object.
  store_revision Revision;

  friend bool operator==(const base_version &, const base_version &) = default;
};

/// State of a rollout in the store: the only record of its decisions. The
/// stored base version is a copy for the time after this record is removed.
struct rollout_record {
  service_name Service;
  version_name TargetVersion;
  /// Time limit of the rollout.
  std::chrono::milliseconds Duration{0};
  rollout_stage Stage = rollout_stage::Pending;
  /// Share of the calls that the new version receives, 0 to 1.
  double TrafficShare = 0;
  /// Time since the start of the rollout when the record was written.
  std::chrono::milliseconds Elapsed{0};
  /// The node that controls the rollout, and its address for evidence.
  node_id Controller;
  address ControllerAddress;
  std::string Reason;
  /// Version that receives the calls until the rollout is completed, and again
  /// after a rollback. Empty if no node has controlled a rollout of the service
  /// since the object was created.
  version_name BaseVersion;
  /// A controller has ruled out a fault of the switched rollout. Its successor
  /// lacks the evidence that ended with it, and completes the rollout unless
  /// the rest speaks for a fault.
  bool FaultRuledOut = false;
  /// Revision of the stored object, and of the rollout order in it.
  store_revision Revision;

  friend bool operator==(const rollout_record &,
                         const rollout_record &) = default;
};

/// Returns whether the rollout has reached its final stage.
bool isFinished(const rollout_record &Record);

/// Returns whether \p Known is the later state of a rollout than \p Read, which
/// may come from a relay that lags behind, or from a store that has come back
/// from an older copy.
///
/// Within one era the revisions decide. Across a restore they say nothing: of
/// two records of the same order, which is identified by its target version and
/// duration, the one of the later stage wins, and within a stage the one that
/// was written later. Of two final stages, \p Read wins: servers have been
/// stopped for it.
bool supersedes(const rollout_record &Known, const rollout_record &Read);

/// Decides which version of each service receives calls.
class version_policy {
public:
  /// Replaces the stored base versions. One that is no longer stored holds
  /// until a later one is decided or stored.
  void setBaseVersions(std::map<service_name, base_version> Stored);
  /// Returns the version that receives calls while no rollout is active, or
  /// null: the one that the rollout record names, or else the later one of the
  /// stored base version and the last removed record. After a restore of the
  /// store, the record is the later one if it has ruled the stored version out.
  const version_name *baseVersion(const service_name &Service) const;
  /// Returns the stored base version, or null.
  const base_version *storedBaseVersion(const service_name &Service) const;
  /// Returns whether the store lacks the base version that is in use, or holds
  /// another one than a finished rollout has decided.
  bool isStoredBaseVersionOutdated(const service_name &Service) const;
  /// Replaces the rollout records. A record that a known one supersedes does
  /// not replace it.
  void setRollouts(const std::vector<rollout_record> &Records, steady_time Now);
  const rollout_record *rollout(const service_name &Service) const;
  /// Returns the rollout record as the store holds it, or null. It differs from
  /// `rollout` only if the store has lost what that one says.
  const rollout_record *storedRollout(const service_name &Service) const;
  /// Returns whether the store has come back from a copy that lacks the state
  /// of the rollout, so that it has to be stored again.
  bool isStoredRolloutOutdated(const service_name &Service) const;

  /// Selects the version for the next call of \p Service, or null if none is
  /// known.
  const version_name *chooseVersion(const service_name &Service,
                                    generator &Gen) const;
  /// Returns whether a server of \p Version may process calls.
  bool mayServe(const service_name &Service, const version_name &Version) const;

private:
  /// A base version that holds without being stored.
  struct base_decision {
    version_name Version;
    /// The version that a finished rollout has replaced or rolled back; empty
    /// if it is not finished.
    version_name RuledOut;
    store_revision Revision;
  };
  struct removed_rollout {
    rollout_record Record;
    steady_time RemovedAt;
  };
  using record_table = std::unordered_map<service_name, rollout_record>;

  /// Returns the latest known state of the rollout of \p Service, or null.
  const rollout_record *latestRecord(const record_table &Before,
                                     const service_name &Service) const;
  /// Remembers the finished rollouts of \p Before that are no longer there.
  void rememberRemoved(const record_table &Before, steady_time Now);
  static base_decision decisionOf(const rollout_record &Record,
                                  const version_name &Version);
  /// Returns whether \p Decided is later than \p Stored.
  static bool holdsAgainst(const base_decision &Decided,
                           const base_version &Stored);

  std::map<service_name, base_version> StoredBaseVersions;
  /// Decisions of the records that have been seen, and base versions that the
  /// store has lost.
  std::unordered_map<service_name, base_decision> Decisions;
  record_table StoredRollouts;
  record_table Rollouts;
  /// Finished rollouts that the store no longer holds, and since when. A copy
  /// of the store may bring an earlier stage back.
  std::unordered_map<service_name, removed_rollout> RemovedRollouts;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_VERSION_POLICY_H
