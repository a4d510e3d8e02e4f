#ifndef GENTIANLUG_MESH_VERSION_POLICY_H
#define GENTIANLUG_MESH_VERSION_POLICY_H

#include "gentianlug/core/random.h"
#include "gentianlug/mesh/model.h"

#include <unordered_map>

namespace gentianlug::mesh {

enum class rollout_stage : std::uint8_t {
  /// Ordered; nobody steers it yet, the new version gets nothing.
  Pending,
  /// The new version gets its share.
  Running,
  /// The new version gets everything; the old servers finish their calls.
  Switching,
  Completed,
  RolledBack,
};

/// A rollout as the store shows it.
struct rollout_record {
  service_name Service;
  version_name TargetVersion;
  /// From the order to its time limit.
  std::chrono::milliseconds Duration{0};
  rollout_stage Stage = rollout_stage::Pending;
  /// Share of the calls that goes to the new version, 0 to 1.
  double TrafficShare = 0;
  /// Time of the rollout that had passed when the record was written.
  std::chrono::milliseconds Elapsed{0};
  /// The node that steers it, and where it takes evidence.
  node_id Controller;
  address ControllerAddress;
  std::string Reason;
  /// Revision of the object in the store, and of the order in it.
  object_revision Revision = 0;

  friend bool operator==(const rollout_record &,
                         const rollout_record &) = default;
};

/// Which version of each service gets calls.
class version_policy {
public:
  /// The version that a service has outside of rollouts.
  void setBaseVersion(const service_name &Service, const version_name &Version);
  const version_name *baseVersion(const service_name &Service) const;
  /// Takes over all rollouts.
  void setRollouts(const std::vector<rollout_record> &Records);
  const rollout_record *rollout(const service_name &Service) const;

  /// Returns the version that the next call of \p Service goes to, or null
  /// while none is known.
  const version_name *chooseVersion(const service_name &Service,
                                    generator &Gen) const;
  /// Returns whether a server of that version may run calls.
  bool mayServe(const service_name &Service, const version_name &Version) const;

private:
  std::unordered_map<service_name, version_name> BaseVersions;
  std::unordered_map<service_name, rollout_record> Rollouts;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_VERSION_POLICY_H
