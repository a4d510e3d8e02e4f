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

/// The part of the proxy task that guards the server beside the node. It
/// answers the peer listener.
class serving_proxy {
public:
  /// What the proxy task lends to its parts.
  struct context {
    net::event_loop &Loop;
    const clock &Clock;
    observe::metric_set &Metrics;
    std::uint64_t Seed;
    node_id Node;
  };

  /// Where the part sends its messages.
  struct outputs {
    std::function<void(evidence_ready)> Evidence;
    /// No call is under way any more.
    std::function<void()> Idle;
  };

  serving_proxy(context Context, outputs Outputs);
  ~serving_proxy();

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot);

  /// Takes each announcement of the server, also repeated ones, which show
  /// that it lives.
  void onAnnouncement(const wire::server_announcement &Announcement);

  void onVersionQuarantine(const version_quarantine &Cut);

  /// Handles one request of the peer listener: a call, or a question about
  /// one.
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
