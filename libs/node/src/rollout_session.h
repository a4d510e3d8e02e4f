#ifndef GENTIANLUG_NODE_ROLLOUT_SESSION_H
#define GENTIANLUG_NODE_ROLLOUT_SESSION_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/rollout/rollout_controller.h"
#include "gentianlug/store/object_store.h"

#include <memory>

namespace gentianlug::node {

/// One node's part in steering one rollout: contends for the lease, and runs
/// the controller while it holds it.
///
/// Platform calls of one running rollout: a lease renewal every 2 s by the
/// holder, which makes 0.5 calls/s, one write per step of the share, and about
/// two reads per candidate when a rollout starts or loses its controller.
/// Candidates make no calls while a controller works.
class rollout_session {
public:
  struct context {
    store::object_store &Store;
    const clock &Clock;
    generator &Gen;
    node_id Node;
  };

  rollout_session(context Context, rollout::controller_parameters Task,
                  std::unique_ptr<rollout::version_evaluator> Verdict);
  ~rollout_session();

  /// Makes the next platform calls; call it once each `EvaluationPeriod`.
  ///
  /// \param Contends whether to contend for the lease unless it is held.
  void tick(bool Contends);

  /// See `rollout_controller`.
  void onEvidence(const rollout::server_evidence &Evidence);
  void onDelivered(const rollout::rollout_state &State);
  void onConfiguration(config_version Version);

  /// Returns whether this node was the last known holder of the lease.
  bool isController() const;

  /// Gives the lease up. The session contends no more.
  void release();

  /// Returns whether a platform call is under way or the lease is still held.
  bool busy() const;

  /// Returns what to tell the nodes beside the servers. Only while `steers`.
  rollout::controller_notice notice() const;

  /// Returns the state as this node knows it from the platform, or null.
  const rollout::rollout_state *state() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_SESSION_H
