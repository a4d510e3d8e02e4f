#ifndef GENTIANLUG_GATEWAY_ENTRY_TASK_H
#define GENTIANLUG_GATEWAY_ENTRY_TASK_H

#include "gentianlug/gateway/process_limits.h"
#include "gentianlug/gateway/serving_task.h"
#include "gentianlug/mesh/load_balancer.h"
#include "gentianlug/mesh/route_table.h"
#include "gentianlug/mesh/version_policy.h"

#include <set>

namespace gentianlug::gateway {

/// Location of this node.
struct node_location {
  node_id Node;
  zone_name Zone;
  /// Bandwidth of this machine's link.
  std::uint32_t LinkMbps = 0;
};

/// Accepts calls from callers, forwards them to servers and returns the
/// responses.
///
/// Owns the listener for callers, the connections to other nodes and the
/// observed state of their servers.
class entry_task {
public:
  /// \param Pacer paces large responses on the machine's link.
  entry_task(task_context Context, node_location Location,
             const connection_limits &Connections, serving_task &Local,
             http1::link_pacer &Pacer);
  ~entry_task();

  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At);

  // Notifications and commands from `gateway_node`.
  void onConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next);
  void onServers(const std::vector<mesh::server_record> &Servers);
  void onVersions(const mesh::version_policy &Versions);
  void onZonesOutOfService(const std::set<zone_name> &Zones);
  /// Sets the service beside this node. It is passed on as the caller service
  /// of all calls that enter here.
  void onLocalService(const service_name &Service);
  /// Sets whether the configuration is known to be up to date.
  void setConfigurationCurrent(bool Current);
  /// The store held no newer configuration at \p AsOf, or later.
  void onConfigurationConfirmed(steady_time AsOf);
  void onBounds(const mesh::mesh_bounds &Bounds);
  /// From now on, each response asks its client to close the connection.
  void startDraining();
  /// Refuses new calls because they may not complete before the node stops.
  void rejectNewCalls();
  /// Closes connections without a request in progress.
  void closeIdleConnections();
  /// Answers all calls in flight with a status of the node's own, because it is
  /// about to end.
  void answerOpenCalls();

  std::size_t callsInFlight() const;
  /// Returns the number of response bytes that are still to be sent to callers.
  std::size_t unsentBytes() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ENTRY_TASK_H
