#ifndef GENTIANLUG_GATEWAY_MESH_STORE_H
#define GENTIANLUG_GATEWAY_MESH_STORE_H

#include "gentianlug/mesh/version_policy.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace gentianlug::gateway {

/// Receives what the store holds. Each call gives the whole of its kind.
class mesh_watcher {
public:
  virtual ~mesh_watcher() = default;

  virtual void
  onConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next) = 0;
  virtual void onServers(std::vector<mesh::server_record> Servers) = 0;
  virtual void
  onBaseVersions(std::map<service_name, version_name> Versions) = 0;
  virtual void onRollouts(std::vector<mesh::rollout_record> Rollouts) = 0;
  virtual void onZonesOutOfService(std::set<zone_name> Zones) = 0;
  /// Whether the store is watched and what was told is known to be current.
  virtual void onSyncState(bool Current) = 0;
};

/// How often a relay asks the store whether it still answers.
struct store_health_check {
  std::chrono::milliseconds Period{0};
  /// Time without an answer after which the store is lost.
  std::chrono::milliseconds Timeout{0};
};

/// What lasts: the only place that outlives all processes.
class mesh_store {
public:
  virtual ~mesh_store() = default;

  /// Reads everything once, at the reduced price of old data, and tells
  /// \p Watcher what it read from now on. Unreadable objects are logged and
  /// left out; the others hold.
  virtual void start(mesh_watcher &Watcher) = 0;
  /// Reads the servers once more, at the reduced price of old data.
  virtual void readServers() = 0;
  /// Stops or starts to watch. A start right after the first read goes on from
  /// there; any other start reads everything again.
  virtual void setWatching(bool Watching) = 0;
  /// Asks the store once whether it answers, at the reduced price.
  virtual void probe(std::function<void(bool Reached)> Done) = 0;
  /// Asks the store often whether it still answers, so that its loss shows
  /// within a second.
  virtual void
  setHealthCheck(const std::optional<store_health_check> &Pulse) = 0;
  /// Stores the record of this node's server. Repeats the write until it has
  /// succeeded or a later record takes its place; \p Done runs at success.
  virtual void publishServer(const mesh::server_record &Record,
                             std::function<void()> Done) = 0;
  /// Returns whether a record of this node's server is still to be stored.
  virtual bool hasPendingPublish() const = 0;
  /// Stores the version that a service has outside of rollouts. Without
  /// \p Replace a version that is stored already stays.
  virtual void publishBaseVersion(const service_name &Service,
                                  const version_name &Version, bool Replace,
                                  std::function<void(bool Stored)> Done) = 0;
  /// Replaces the state of a rollout if the object still has the revision of
  /// \p Record.
  virtual void writeRollout(const mesh::rollout_record &Record,
                            std::function<void(bool Written)> Done) = 0;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_MESH_STORE_H
