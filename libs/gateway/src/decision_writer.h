#ifndef GENTIANLUG_GATEWAY_DECISION_WRITER_H
#define GENTIANLUG_GATEWAY_DECISION_WRITER_H

#include "gentianlug/gateway/mesh_store.h"
#include "gentianlug/gateway/task_context.h"
#include "gentianlug/mesh/server_lifecycle.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

/// State of the node that a `decision_writer` reads.
struct decision_sources {
  const mesh::version_policy &Versions;
  const std::vector<mesh::server_record> &Servers;
  const mesh::server_lifecycle &Lifecycle;
};

/// Stores what is known about the versions of the local service and the store
/// lacks: the first base version, the base version that a finished rollout has
/// decided, and after a restore of the store the finished rollout itself. A
/// process that starts later believes the store.
///
/// Of all nodes, only the first one beside a ready server of the version in use
/// corrects the store. All writes are conditional.
class decision_writer : public std::enable_shared_from_this<decision_writer> {
public:
  decision_writer(const task_context &Context, node_id Node, mesh_store &Store,
                  const decision_sources &Sources);

  /// Sets whether the base versions and rollouts that this node knows are
  /// complete and up to date. Nothing is written before.
  void setCurrent(bool Next);
  /// Checks what has to be written. Call it after each change of the sources.
  void check();

private:
  void proposeBaseVersion(const mesh::server_announcement &Server);
  bool isRolloutLost(const service_name &Service) const;
  /// Returns whether this node has to correct what the store holds about
  /// \p Service.
  bool mustCorrect(const service_name &Service) const;
  void correct();
  void restoreRollout(const service_name &Service);
  void writeBaseVersion(const service_name &Service,
                        const mesh::base_version &Next);
  void onWritten();

  task_context Context;
  node_id Node;
  mesh_store &Store;
  decision_sources Sources;
  bool Current = false;
  bool WritePending = false;
  net::timer CorrectionTimer;
  bool CorrectionDue = false;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_DECISION_WRITER_H
