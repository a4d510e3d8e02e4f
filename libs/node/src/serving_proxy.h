#ifndef GENTIANLUG_NODE_SERVING_PROXY_H
#define GENTIANLUG_NODE_SERVING_PROXY_H

#include "gentianlug/core/clock.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/node/messages.h"
#include "gentianlug/observe/metrics.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// The part of the proxy task that controls access to the backend server beside
/// the node. It handles requests of the peer listener.
class serving_proxy {
public:
  /// Resources of the proxy task that its parts use.
  struct context {
    net::event_loop &Loop;
    const clock &Clock;
    observe::metric_set &Metrics;
    std::uint64_t Seed;
    node_id Node;
  };

  /// Callbacks for the messages of the serving proxy.
  struct outputs {
    std::function<void(evidence_ready)> Evidence;
    /// The last call in flight has completed.
    std::function<void()> Idle;
  };

  serving_proxy(context Context, outputs Outputs);
  ~serving_proxy();

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot);

  /// Handles an announcement of the server. Repeated announcements serve as
  /// its heartbeat.
  void onAnnouncement(const wire::server_announcement &Announcement);

  void onVersionQuarantine(const version_quarantine &Quarantine);

  /// Handles one request of the peer listener: a call, a call state query or a
  /// ping.
  void onRequest(const net::http_exchange &Exchange);

  /// Refuses new calls from now on.
  void drain();

  std::size_t callsInFlight() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVING_PROXY_H
