#ifndef GENTIANLUG_NODE_SEED_PEERS_H
#define GENTIANLUG_NODE_SEED_PEERS_H

#include "control_context.h"
#include "gentianlug/distribution/startup_gate.h"
#include "gentianlug/net/http_client.h"

#include <functional>
#include <vector>

namespace gentianlug::node {

/// Questions to the seed peers of the settings.
class seed_peers {
public:
  explicit seed_peers(control_context &Context)
      : Context(Context), Client(Context.Loop) {}

  /// Asks a few seed peers for root relays; the callback gets the union of
  /// their answers, which may be empty.
  void
  findRelays(std::function<void(std::vector<distribution::relay_entry>)> Done);

  /// Asks a few seed peers for a newer version than the one in force.
  ///
  /// \param Done runs once for each of them; nothing when one failed.
  void
  probe(const std::function<void(std::optional<distribution::sync_response>)>
            &Done);

  std::uint64_t bytes() const { return Client.bytes(); }

private:
  std::vector<address> drawPeers();

  control_context &Context;
  net::http_client Client;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SEED_PEERS_H
