#ifndef GENTIANLUG_GATEWAY_USAGE_TASK_H
#define GENTIANLUG_GATEWAY_USAGE_TASK_H

#include "gentianlug/gateway/task_context.h"
#include "gentianlug/gateway/usage_interfaces.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/mesh/model.h"

#include <memory>

namespace gentianlug::gateway {

/// Where a node receives changes of the store from.
struct change_source {
  bool WatchesStore = false;
  /// The relay that serves this node; empty if there is none.
  std::optional<address> Relay;

  friend bool operator==(const change_source &,
                         const change_source &) = default;
};

/// Counts the calls of each client account at the local server, and takes part
/// in reporting them.
///
/// A node sends its counts to its relay, and a relay sends what it has
/// collected to the holder of the usage duty. The nodes that watch the store
/// contend for the duty; its holder sends one report a window to the accounting
/// service.
class usage_task {
public:
  usage_task(task_context Context, node_id Node, address NodeAddress,
             const mesh::usage_terms &Terms, usage_duty_store &Store,
             accounting_service &Accounting);
  ~usage_task();

  void start();

  // Messages to the task.
  /// The server has been sent a call of \p Account.
  void onCallStarted(const account_name &Account);
  /// The server did not run the call that was sent to it at \p StartedAt.
  void onCallNotRun(const account_name &Account, steady_time StartedAt);
  void onServers(const std::vector<mesh::server_record> &Servers);
  void onChangeSource(const change_source &Source);
  /// An earlier process of this node has served its server.
  void onPredecessorFound();
  /// Responds to a message with the counts of other nodes.
  void onUsage(http1::exchange &Exchange);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_USAGE_TASK_H
