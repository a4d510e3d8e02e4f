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

/// Holds the configuration in force and takes part in its distribution.
class control_task final : public net::task {
public:
  /// Where the task sends its messages.
  struct outputs {
    std::function<void(std::shared_ptr<const routing_snapshot>)> Routing;
    std::function<void(task_report)> Report;
    /// Evidence that other nodes sent for a rollout that this node controls.
    std::function<void(rollout::server_evidence)> Evidence;
    /// The draining state was reported toward the root, or a bound of 1 s
    /// passed.
    std::function<void()> DrainReported;
    /// Notice of the controller of the local server's rollout.
    std::function<void(rollout::controller_notice)> ControllerNotice;
  };

  control_task(settings::node_settings Settings, outputs Outputs);
  ~control_task() override;

  /// Opens the control listener. Call it before `start`.
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
