#ifndef GENTIANLUG_GATEWAY_GATEWAY_NODE_H
#define GENTIANLUG_GATEWAY_GATEWAY_NODE_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/gateway/mesh_store.h"
#include "gentianlug/gateway/process_limits.h"
#include "gentianlug/gateway/rollout_task.h"
#include "gentianlug/gateway/usage_interfaces.h"

namespace gentianlug::gateway {

/// Settings of a node.
struct gateway_settings {
  node_location Location;
  /// Service of the server on this VM. If it is empty, the service that the
  /// server announces counts.
  service_name LocalService;
  /// Address of the server on this VM. If the host is empty, the address that
  /// the server announces counts.
  address ServerAddress;
  /// Accepts calls of callers and of the server on this VM.
  address CallerListener;
  /// Accepts calls of other nodes.
  address NodeListener;
  mesh::mesh_bounds Bounds;
  process_limits Limits;
  /// Terms of the usage reports; empty if none are due.
  std::optional<mesh::usage_terms> Usage;
};

/// What a node needs to report the usage of the client accounts.
struct accounting_links {
  usage_duty_store &Store;
  accounting_service &Service;
};

/// Result of an announcement.
enum class announcement_status : std::uint8_t {
  Acknowledged,
  /// It does not describe the server of this VM and has no effect.
  Refused,
};

/// Sidecar of one backend server. Owns the tasks of the node and passes
/// messages between them.
///
/// All tasks run on one event loop because they share one processor; each task
/// owns its sockets and state.
class gateway_node final : public mesh_watcher {
public:
  /// \param Accounting needed if \p Settings ask for usage reports.
  gateway_node(task_context Context, gateway_settings Settings,
               mesh_store &Store,
               const std::optional<accounting_links> &Accounting = {});
  ~gateway_node() override;

  /// Opens the listeners and starts reading the store.
  ///
  /// \returns `net_errc::ListenFailed` if a listener cannot be opened.
  result<void> start();

  // Announcements of the server on this VM.
  /// Runs \p Done immediately. For a server that is no longer ready, \p Done
  /// waits for a bounded time until its record is stored, so that no new call
  /// is routed to it.
  void announce(const mesh::server_announcement &Announcement,
                std::function<void(announcement_status)> Done);
  /// Marks the server as gone if \p Instance is the current one, and no later
  /// run than \p Incarnation. \p Ack waits as for a server that is no longer
  /// ready.
  void deregister(const std::string &Instance,
                  std::optional<incarnation_number> Incarnation,
                  std::function<void()> Ack);

  /// Returns whether callers may be directed to this node.
  bool ready() const;
  /// Starts a graceful shutdown. Runs \p Done once no call is in flight, or
  /// shortly before the grace period ends.
  void stop(std::function<void()> Done);
  /// Applies the settings that may change at run time.
  void reload(const gateway_settings &Settings);
  std::string metricsText() const;

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

#endif // GENTIANLUG_GATEWAY_GATEWAY_NODE_H
