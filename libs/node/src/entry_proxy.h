#ifndef GENTIANLUG_NODE_ENTRY_PROXY_H
#define GENTIANLUG_NODE_ENTRY_PROXY_H

#include "serving_proxy.h"

namespace gentianlug::node {

/// The part of the proxy task that handles requests of the caller listener and
/// routes them to serving nodes.
class entry_proxy {
public:
  /// Callbacks for the messages of the entry proxy.
  struct outputs {
    /// The last call in flight has completed.
    std::function<void()> Idle;
  };

  entry_proxy(serving_proxy::context Context, zone_name OwnZone,
              outputs Outputs);
  ~entry_proxy();

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot);

  /// Handles one request of the caller listener.
  void onRequest(const net::http_exchange &Exchange);

  /// From now on, each response asks the caller to close its connection.
  void closeConnections();

  /// Refuses new calls from now on, except those that a backend server makes
  /// while it handles a call itself.
  void drain();

  std::size_t callsInFlight() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ENTRY_PROXY_H
