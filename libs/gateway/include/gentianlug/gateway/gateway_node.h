#ifndef GENTIANLUG_GATEWAY_GATEWAY_NODE_H
#define GENTIANLUG_GATEWAY_GATEWAY_NODE_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/gateway/mesh_store.h"
#include "gentianlug/gateway/rollout_task.h"

namespace gentianlug::gateway {

/// What a node needs to know from its settings.
struct gateway_settings {
  node_location Location;
  /// Service of the server on this machine, until the server announces itself.
  service_name LocalService;
  /// Takes calls of callers and of the server on this machine.
  address CallerListener;
  /// Takes calls of other nodes.
  address NodeListener;
  mesh::mesh_bounds Bounds;
};

/// The node beside one server: its tasks, and the messages between them.
///
/// All tasks share one event loop, since they share one processor; each owns
/// its sockets and state.
class gateway_node final : public mesh_watcher {
public:
  gateway_node(task_context Context, gateway_settings Settings,
               mesh_store &Store);
  ~gateway_node() override;

  /// Opens the listeners and starts to read the store.
  result<void> start();

  // Announcements of the server on this machine.
  /// \p Ack runs once the announcement is safe: at once, or, for a server that
  /// leaves, when no new call can reach it any more.
  void announce(const mesh::server_announcement &Announcement,
                std::function<void()> Ack);
  void deregister(const std::string &Instance, std::function<void()> Ack);

  /// Whether callers may be sent here.
  bool ready() const;
  /// Begins to stop; \p Done runs once no call is under way, or when the time
  /// to stop is nearly over.
  void stop(std::function<void()> Done);
  /// Takes over settings that may change while the node runs.
  void reload(const gateway_settings &Settings);
  std::string metricsText() const;

  void onConfiguration(
      std::shared_ptr<const mesh::mesh_configuration> Next) override;
  void onServers(std::vector<mesh::server_record> Servers) override;
  void onBaseVersions(std::map<service_name, version_name> Versions) override;
  void onRollouts(std::vector<mesh::rollout_record> Rollouts) override;
  void onZonesOutOfService(std::set<zone_name> Zones) override;
  void onSyncState(bool Current) override;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_GATEWAY_NODE_H
