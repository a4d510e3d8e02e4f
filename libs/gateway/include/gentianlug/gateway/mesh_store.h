#ifndef GENTIANLUG_GATEWAY_MESH_STORE_H
#define GENTIANLUG_GATEWAY_MESH_STORE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/version_policy.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace gentianlug::gateway {

/// Receives the contents of the store. Each call passes the complete current
/// set of one kind of object.
class mesh_watcher {
public:
  virtual ~mesh_watcher() = default;

  virtual void
  onConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next) = 0;
  virtual void onServers(std::vector<mesh::server_record> Servers) = 0;
  virtual void
  onBaseVersions(std::map<service_name, mesh::base_version> Versions) = 0;
  virtual void onRollouts(std::vector<mesh::rollout_record> Rollouts) = 0;
  virtual void onZonesOutOfService(std::set<zone_name> Zones) = 0;
  /// \param InSync whether the store is being watched and the data passed so
  ///   far is known to be current.
  virtual void onSyncState(bool InSync) = 0;
  /// The store held no configuration newer than the last one passed on at
  /// \p AsOf, or later.
  virtual void onConfigurationConfirmed(steady_time AsOf) = 0;
};

/// Periodic check by which a node that watches the store detects that the store
/// is unreachable, or that a watch has missed changes.
struct store_health_check {
  std::chrono::milliseconds Period{0};
  /// The store counts as unreachable after this time without a response.
  std::chrono::milliseconds Timeout{0};
};

/// Client of the persistent store: the only state that survives the end of all
/// processes of the mesh.
class mesh_store {
public:
  virtual ~mesh_store() = default;

  /// Reads all objects once and reports them, and all later changes, to
  /// \p Watcher. The read accepts stale data, which the store charges at a
  /// reduced price. Malformed objects are logged and skipped.
  virtual void start(mesh_watcher &Watcher) = 0;
  /// Reads the servers again, accepting stale data at the reduced price.
  virtual void readServers() = 0;
  /// Starts or stops watching. A start right after the first read continues
  /// from its revision; any other start reads all objects again.
  virtual void setWatching(bool Watching) = 0;
  /// Checks once whether the store responds, at the reduced price.
  virtual void probe(std::function<void(bool Reached)> Done) = 0;
  /// Starts periodic checks; stops them if \p Check is empty. While the store
  /// is watched, each one proves that the watches are complete, at the full
  /// price of a call. Otherwise it is a probe.
  virtual void
  setHealthCheck(const std::optional<store_health_check> &Check) = 0;
  /// Checks at every \p Period, while the store is watched, that the
  /// configuration is the newest one, and reports it to the watcher. These
  /// checks take the place of those of `setHealthCheck`. Empty to stop.
  virtual void
  setConfirmationPeriod(std::optional<std::chrono::milliseconds> Period) = 0;
  /// Stores the record of this node's server, unless the stored one supersedes
  /// it. Retries until the write succeeds or a newer record replaces it.
  ///
  /// \param Done receives what the store then holds: \p Record, or the record
  ///   that supersedes it.
  virtual void publishServer(
      const mesh::server_record &Record,
      std::function<void(const mesh::server_record &Stored)> Done) = 0;
  /// Returns whether a record passed to `publishServer` is not yet stored.
  virtual bool hasPendingPublish() const = 0;
  /// Stores the version that a service has outside of rollouts, if the stored
  /// object still has the revision of \p Next, where 0 means that there is
  /// none. A write that is carried out late then replaces no later one.
  virtual void publishBaseVersion(const service_name &Service,
                                  const mesh::base_version &Next,
                                  std::function<void(bool Stored)> Done) = 0;
  /// Overwrites the state of a rollout if the stored object still has the
  /// revision of \p Record.
  virtual void writeRollout(const mesh::rollout_record &Record,
                            std::function<void(bool Written)> Done) = 0;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_MESH_STORE_H
