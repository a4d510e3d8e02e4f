#ifndef GENTIANLUG_GATEWAY_FEED_TASK_H
#define GENTIANLUG_GATEWAY_FEED_TASK_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/http1/server.h"

namespace gentianlug::gateway {

/// Where a relay takes the questions of its followers.
inline constexpr const char *FeedPath = "/v1/feed";

/// Brings what the store holds to this node, at few calls to the store.
///
/// One node of each group watches the store and relays its changes; the others
/// ask it and wait. A node that starts, or loses its relay, looks for the next
/// one for a bounded time and then watches the store itself until a relay
/// answers. A relay that loses the store says so at once; its followers watch
/// the store if they reach it, else they ask the relay and the store in turns.
class feed_task final : public mesh_watcher {
public:
  feed_task(task_context Context, node_location Place, mesh_store &Store,
            mesh_watcher &Node);
  ~feed_task() override;

  void start();
  /// Takes over how fast changes have to be in force.
  void onBounds(const mesh::mesh_bounds &Bounds);
  /// Takes a question of a follower.
  void onFollowerPoll(std::shared_ptr<http1::exchange> Exchange);

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

#endif // GENTIANLUG_GATEWAY_FEED_TASK_H
