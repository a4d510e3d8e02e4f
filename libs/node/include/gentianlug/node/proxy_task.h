#ifndef GENTIANLUG_NODE_PROXY_TASK_H
#define GENTIANLUG_NODE_PROXY_TASK_H

#include "gentianlug/net/mailbox.h"
#include "gentianlug/net/task.h"
#include "gentianlug/node/messages.h"
#include "gentianlug/settings/node_settings.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// Handles requests of callers and of other nodes, and controls access to the
/// backend server beside the node.
class proxy_task final : public net::task {
public:
  /// Callbacks for the messages of the task.
  struct outputs {
    std::function<void(task_report)> Report;
    std::function<void(evidence_ready)> Evidence;
    /// All calls in flight have completed after a stop request.
    std::function<void()> Drained;
  };

  proxy_task(settings::node_settings Settings, outputs Outputs);
  ~proxy_task() override;

  /// Opens the listeners. Call it before `start`.
  result<void> listen();

  net::mailbox<std::shared_ptr<const routing_snapshot>> &snapshots();
  net::mailbox<server_announced> &announcements();
  net::mailbox<version_quarantine> &quarantines();
  net::mailbox<stop_request> &stopRequests();

private:
  void onStart() override;

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_PROXY_TASK_H
