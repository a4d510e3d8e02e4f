#ifndef GENTIANLUG_MESH_VERSION_POLICY_H
#define GENTIANLUG_MESH_VERSION_POLICY_H

#include "gentianlug/core/random.h"
#include "gentianlug/core/store_revision.h"
#include "gentianlug/mesh/model.h"

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

/// Decides which version of each service receives calls.
class version_policy {
public:
  /// Sets the stored base version of \p Service.
  void setBaseVersion(const service_name &Service, base_version Stored);
  /// Returns the version that receives calls while no rollout is active, or
  /// null: the one that the rollout record names, or else the later one of the
  /// stored base version and the last removed record.
  const version_name *baseVersion(const service_name &Service) const;
  /// Returns the stored base version, or null.
  const base_version *storedBaseVersion(const service_name &Service) const;
  /// Returns whether the stored base version differs from the one that a
  /// finished rollout has decided.
  bool isStoredBaseVersionOutdated(const service_name &Service) const;
  /// Replaces the rollout records. An older revision of a known record does
  /// not replace it.
  void setRollouts(const std::vector<rollout_record> &Records);
  const rollout_record *rollout(const service_name &Service) const;

  /// Selects the version for the next call of \p Service, or null if none is
  /// known.
  const version_name *chooseVersion(const service_name &Service,
                                    generator &Gen) const;
  /// Returns whether a server of \p Version may process calls.
  bool mayServe(const service_name &Service, const version_name &Version) const;

private:
  std::unordered_map<service_name, base_version> StoredBaseVersions;
  /// Base versions by the records that have been seen, with their revisions.
  std::unordered_map<service_name, base_version> DecidedBaseVersions;
  std::unordered_map<service_name, rollout_record> Rollouts;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_VERSION_POLICY_H
