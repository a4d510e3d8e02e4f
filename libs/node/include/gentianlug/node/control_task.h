#ifndef GENTIANLUG_NODE_CONTROL_TASK_H
#define GENTIANLUG_NODE_CONTROL_TASK_H

#include "gentianlug/net/mailbox.h"
#include "gentianlug/net/task.h"
#include "gentianlug/node/messages.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/settings/node_settings.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// Task of the control plane of a node. It holds the current configuration and
/// the member records, takes part in their distribution through the relay tree,
/// and publishes routing snapshots to the other tasks.
class control_task final : public net::task {
public:
  /// Receivers of the messages of this task, called on its thread.
  struct outputs {
    std::function<void(std::shared_ptr<const routing_snapshot>)> Routing;
    std::function<void(task_report)> Report;
    /// Rollout evidence from other nodes, for a rollout that this node
    /// controls.
    std::function<void(rollout::server_evidence)> Evidence;
    /// Called when the draining state was reported toward the root, at the
    /// latest after 1 s.
    std::function<void()> DrainReported;
    /// Notice from the controller of the local server's rollout.
    std::function<void(rollout::controller_notice)> ControllerNotice;
  };

  control_task(settings::node_settings Settings, outputs Outputs);
  ~control_task() override;

  /// Opens the control listener. Must be called before `start`.
  result<void> listen();

  net::mailbox<server_announced> &announcements();
  net::mailbox<drain_request> &drainRequests();
  net::mailbox<stop_request> &stopRequests();

private:
  void onStart() override;
  void onStop() override;

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_TASK_H
