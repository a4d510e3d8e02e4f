#ifndef GENTIANLUG_GATEWAY_FEED_TASK_H
#define GENTIANLUG_GATEWAY_FEED_TASK_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/gateway/usage_task.h"
#include "gentianlug/http1/server.h"

namespace gentianlug::gateway {

/// Path at which a relay accepts polls of its followers.
inline constexpr const char *FeedPath = "/v1/feed";
/// Path at which a node accepts polls of followers that cannot use their relay.
inline constexpr const char *SubstituteFeedPath = "/v1/feed/substitute";

/// Keeps this node up to date with the store while limiting the number of
/// store requests.
///
/// One node of each group, the relay, watches the store and forwards changes;
/// the other nodes, its followers, long-poll the relay. A relay that loses its
/// connection to the store rejects its followers immediately. A follower that
/// cannot use its relay asks the next candidates to substitute for it: a
/// substitute watches the store as long as followers poll it. A node that finds
/// neither within a bounded time watches the store itself until a relay
/// responds. While the store is unreachable for all of them, followers poll the
/// relay and probe the store alternately.
class feed_task final : public mesh_watcher {
public:
  feed_task(task_context Context, node_location Location, mesh_store &Store,
            mesh_watcher &Node);
  ~feed_task() override;

  void start();
  /// Sets the handler for changes of the source from which this node receives
  /// changes.
  void setSourceHandler(std::function<void(const change_source &)> Handler);
  /// Derives all time-outs from the maximum propagation time in \p Bounds.
  void onBounds(const mesh::mesh_bounds &Bounds);
  /// Responds to a long poll of a follower, at the latest after the long-poll
  /// time.
  void onFollowerPoll(std::shared_ptr<http1::exchange> Exchange);

  void onConfiguration(
      std::shared_ptr<const mesh::mesh_configuration> Next) override;
  void onServers(std::vector<mesh::server_record> Servers) override;
  void
  onBaseVersions(std::map<service_name, mesh::base_version> Versions) override;
  void onRollouts(std::vector<mesh::rollout_record> Rollouts) override;
  void onZonesOutOfService(std::set<zone_name> Zones) override;
  void onSyncState(bool InSync) override;
  void onConfigurationConfirmed(steady_time AsOf) override;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_FEED_TASK_H
