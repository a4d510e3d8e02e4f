#ifndef GENTIANLUG_GATEWAY_ENTRY_TASK_H
#define GENTIANLUG_GATEWAY_ENTRY_TASK_H

#include "gentianlug/gateway/serving_task.h"
#include "gentianlug/mesh/load_balancer.h"
#include "gentianlug/mesh/route_table.h"
#include "gentianlug/mesh/version_policy.h"

#include <set>

namespace gentianlug::gateway {

/// Where this node is.
struct node_location {
  node_id Node;
  zone_name Zone;
  /// Number of this machine; the server beside the node calls from it.
  std::string Host;
  /// Bandwidth of its link.
  std::uint32_t LinkMbps = 0;
};

/// Takes calls of callers, chooses their servers and answers them.
///
/// Owns the listener for callers, the connections to other nodes and what it
/// has observed of their servers.
class entry_task {
public:
  /// \param Pacer of the machine's link.
  entry_task(task_context Context, node_location Place, serving_task &Local,
             http1::link_pacer &Pacer);
  ~entry_task();

  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At);

  // Messages to the task.
  void onConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next);
  void onServers(const std::vector<mesh::server_record> &Servers);
  void onVersions(const mesh::version_policy &Versions);
  void onZonesOutOfService(const std::set<zone_name> &Zones);
  /// The service beside this node, which calls of this machine are marked with.
  void onLocalService(const service_name &Service);
  /// Whether the configuration is known to be the newest one.
  void setConfigurationCurrent(bool Current);
  /// Answers ask their clients to leave.
  void startDraining();
  /// The time to stop leaves no room for another call: new ones are refused.
  void rejectNewCalls();
  /// Closes connections without a request.
  void closeIdleConnections();

  std::size_t callsInFlight() const;
  /// Returns the bytes of answers that wait to be sent to callers.
  std::size_t unsentBytes() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ENTRY_TASK_H
