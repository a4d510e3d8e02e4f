#ifndef GENTIANLUG_GATEWAY_ROLLOUT_TASK_H
#define GENTIANLUG_GATEWAY_ROLLOUT_TASK_H

#include "gentianlug/gateway/mesh_store.h"
#include "gentianlug/gateway/serving_task.h"
#include "gentianlug/mesh/rollout_controller.h"

namespace gentianlug::gateway {

/// Takes part in the rollout of the service beside this node.
///
/// One of the nodes beside servers of the service steers it: the one that the
/// record names, until evidence no longer reaches it. A write succeeds only on
/// the revision that the writer knows, so two nodes that both believe to steer
/// do no harm.
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

  /// Returns whether this node has found the version of its server faulty by
  /// itself.
  bool isQuarantined() const;
  /// Runs \p Action when `cut` changes.
  void setQuarantineHandler(std::function<void()> Action);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ROLLOUT_TASK_H
