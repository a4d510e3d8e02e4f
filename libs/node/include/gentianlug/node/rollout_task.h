#ifndef GENTIANLUG_NODE_ROLLOUT_TASK_H
#define GENTIANLUG_NODE_ROLLOUT_TASK_H

#include "gentianlug/net/mailbox.h"
#include "gentianlug/net/task.h"
#include "gentianlug/node/messages.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/settings/node_settings.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// Takes part in the rollout of the local server's service. The task sends
/// evidence to the rollout controller, quarantines the local server, and runs
/// the controller while this node holds the rollout lease.
class rollout_task final : public net::task {
public:
  /// Receivers of the messages of this task, called on its thread.
  struct outputs {
    std::function<void(version_quarantine)> Quarantine;
    std::function<void(task_report)> Report;
  };

  rollout_task(settings::node_settings Settings, outputs Outputs);
  ~rollout_task() override;

  net::mailbox<std::shared_ptr<const routing_snapshot>> &snapshots();
  /// Evidence about the local server.
  net::mailbox<evidence_ready> &localEvidence();
  /// Evidence and notices from other nodes.
  net::mailbox<rollout::server_evidence> &remoteEvidence();
  net::mailbox<rollout::controller_notice> &controllerNotices();
  net::mailbox<stop_request> &stopRequests();

private:
  void onStart() override;

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_TASK_H
