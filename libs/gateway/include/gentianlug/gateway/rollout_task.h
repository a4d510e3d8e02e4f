#ifndef GENTIANLUG_GATEWAY_ROLLOUT_TASK_H
#define GENTIANLUG_GATEWAY_ROLLOUT_TASK_H

#include "gentianlug/gateway/mesh_store.h"
#include "gentianlug/gateway/serving_task.h"
#include "gentianlug/mesh/rollout_controller.h"

namespace gentianlug::gateway {

/// Participates in the rollout of the local server's service.
///
/// One node of the service, named in the rollout record, is the controller of
/// the rollout. If evidence no longer reaches it, another node takes over.
/// Writes are conditional on the revision last read, so two nodes that both
/// act as the controller cannot overwrite each other's changes.
class rollout_task {
public:
  rollout_task(task_context Context, node_id Node, address NodeAddress,
               mesh_store &Store, serving_task &Serving);
  ~rollout_task();

  // Messages to the task.
  void onBounds(const mesh::mesh_bounds &Bounds);
  void onConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next);
  void onServers(const std::vector<mesh::server_record> &Servers);
  void onVersions(const mesh::version_policy &Versions);
  void onServer(const std::optional<local_server> &Server);
  void onEvidence(const rollout::server_evidence &Evidence);

  /// Returns whether this node has quarantined its server because of the
  /// errors it observed itself.
  bool isQuarantined() const;
  /// Runs \p Handler when `isQuarantined` changes.
  void setQuarantineHandler(std::function<void()> Handler);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ROLLOUT_TASK_H
