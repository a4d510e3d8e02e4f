#ifndef GENTIANLUG_NODE_ADMIN_TASK_H
#define GENTIANLUG_NODE_ADMIN_TASK_H

#include "gentianlug/net/mailbox.h"
#include "gentianlug/net/task.h"
#include "gentianlug/node/messages.h"
#include "gentianlug/settings/node_settings.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// Task of the admin listener. It receives the announcements of the local
/// server and serves the metrics and the status of the node.
class admin_task final : public net::task {
public:
  /// Receivers of the messages of this task, called on its thread.
  struct outputs {
    std::function<void(server_announced)> Announced;
  };

  admin_task(settings::node_settings Settings, outputs Outputs);
  ~admin_task() override;

  /// Opens the admin listener. Must be called before `start`.
  result<void> listen();

  net::mailbox<task_report> &reports();
  net::mailbox<stop_request> &stopRequests();

private:
  void onStart() override;

  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ADMIN_TASK_H
