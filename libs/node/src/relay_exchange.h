#ifndef GENTIANLUG_NODE_RELAY_EXCHANGE_H
#define GENTIANLUG_NODE_RELAY_EXCHANGE_H

#include "control_context.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <functional>
#include <map>
#include <memory>

namespace gentianlug::node {

/// Polls all other root relays while this node is a root relay.
class relay_exchange {
public:
  struct outputs {
    std::function<void(const distribution::update_outcome &)> Changed;
    /// Returns the report for the other relays.
    std::function<distribution::subtree_report()> Report;
    /// Returns whether this relay cannot read from the platform.
    std::function<bool()> PlatformUnreachable;
  };

  relay_exchange(control_context &Context, outputs Outputs);

  /// Sets the relays to poll, and stops polling all others.
  void setRelays(const std::vector<distribution::relay_entry> &Relays);

  std::uint64_t bytes() const { return Client.transferredBytes(); }

private:
  /// A polled relay. Polling of a removed relay ends with its next response.
  struct peer {
    distribution::relay_entry Relay;
    distribution::log_cursor Cursor;
    net::timer RetryTimer;
    /// Time of the last response, or the start of polling if there is none.
    steady_time LastResponse{};
    bool Unresponsive = false;
  };

  void poll(const node_id &Node);
  void onResponse(peer &Peer, const result<net::http_response> &Answer);
  void onFailure(peer &Peer, const std::string &Reason);

  control_context &Context;
  outputs Outputs;
  net::http_client Client;
  std::map<node_id, std::shared_ptr<peer>> Peers;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RELAY_EXCHANGE_H
