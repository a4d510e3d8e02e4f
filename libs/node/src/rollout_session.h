#ifndef GENTIANLUG_NODE_ROLLOUT_SESSION_H
#define GENTIANLUG_NODE_ROLLOUT_SESSION_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/rollout/rollout_controller.h"
#include "gentianlug/store/object_store.h"

#include <memory>

namespace gentianlug::node {

/// Contends for the lease of a rollout, and runs the rollout controller while
/// it holds the lease.
///
/// A running rollout causes these platform calls: the lease holder renews the
/// lease every 2 s (0.5 calls/s) and writes the state once per step of the
/// share, and every candidate performs about two reads when the rollout starts
/// or loses its controller. Candidates make no calls while a controller is
/// active.
class rollout_session {
public:
  struct context {
    store::object_store &Store;
    const clock &Clock;
    generator &Gen;
    node_id Node;
  };

  rollout_session(context Context, rollout::controller_parameters Parameters,
                  std::unique_ptr<rollout::version_evaluator> Evaluator);
  ~rollout_session();

  /// Makes the next platform calls. Must be called once in each
  /// `EvaluationPeriod`.
  ///
  /// \param MayContend whether to contend for the lease if this node does not
  /// hold it.
  void tick(bool MayContend);

  /// See `rollout_controller`.
  void onEvidence(const rollout::server_evidence &Evidence);
  void onStateDelivered(const rollout::rollout_state &State);
  void onConfigurationChanged(config_version Version);

  /// Returns whether this node was the last known holder of the lease.
  bool isController() const;

  /// Releases the lease. The session does not contend for it again.
  void release();

  /// Returns whether a platform call is in flight or the lease is still held.
  bool isBusy() const;

  /// Returns the notice for the nodes whose local servers provide the service.
  /// Must be called only while `isController` returns true.
  rollout::controller_notice notice() const;

  /// Returns the rollout state known from the platform, or null.
  const rollout::rollout_state *state() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_SESSION_H
