#ifndef GENTIANLUG_NODE_RELAY_EXCHANGE_H
#define GENTIANLUG_NODE_RELAY_EXCHANGE_H

#include "control_context.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <functional>
#include <map>
#include <memory>

namespace gentianlug::node {

/// A root relay's polls of all other root relays.
class relay_exchange {
public:
  struct outputs {
    std::function<void(const distribution::update_outcome &)> Changed;
    std::function<distribution::subtree_report()> Report;
    /// Whether this relay cannot read the platform.
    std::function<bool()> PlatformUnreachable;
  };

  relay_exchange(control_context &Context, outputs Outputs);

  /// Sets the relays to poll; polls of others end.
  void setRelays(const std::vector<distribution::relay_entry> &Relays);

  std::uint64_t bytes() const { return Client.bytes(); }

private:
  /// One polled relay. Polls of a removed one end with their next answer.
  struct peer {
    distribution::relay_entry Relay;
    distribution::log_cursor Cursor;
    net::timer Retry;
    /// Of the last answer, or of the start of the polls.
    steady_time LastAnswer{};
    bool Lost = false;
  };

  void poll(const node_id &Node);
  void onAnswer(peer &Peer, const result<net::http_response> &Answer);
  void onFailure(peer &Peer, const std::string &Reason);

  control_context &Context;
  outputs Outputs;
  net::http_client Client;
  std::map<node_id, std::shared_ptr<peer>> Peers;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RELAY_EXCHANGE_H
