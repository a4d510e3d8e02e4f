#ifndef GENTIANLUG_NODE_ENTRY_PROXY_H
#define GENTIANLUG_NODE_ENTRY_PROXY_H

#include "serving_proxy.h"

namespace gentianlug::node {

/// The part of the proxy task that routes calls of callers to the node beside
/// a server. It answers the caller listener.
class entry_proxy {
public:
  /// Where the part sends its messages.
  struct outputs {
    /// No call is under way any more.
    std::function<void()> Idle;
  };

  entry_proxy(serving_proxy::context Context, zone_name OwnZone,
              outputs Outputs);
  ~entry_proxy();

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot);

  /// Handles one request of the caller listener.
  void onRequest(const net::http_exchange &Exchange);

  /// Asks callers to close their connections, with each answer from now on.
  void closeConnections();

  /// Refuses new calls from now on, except those of a server that is still
  /// working on a call.
  void drain();

  std::size_t callsInFlight() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ENTRY_PROXY_H
