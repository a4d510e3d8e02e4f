#ifndef GENTIANLUG_NODE_SEED_PEERS_H
#define GENTIANLUG_NODE_SEED_PEERS_H

#include "control_context.h"
#include "gentianlug/distribution/startup_gate.h"
#include "gentianlug/net/http_client.h"

#include <functional>
#include <vector>

namespace gentianlug::node {

/// Client for the seed peers that are configured in the settings.
class seed_peers {
public:
  explicit seed_peers(control_context &Context)
      : Context(Context), Client(Context.Loop) {}

  /// Requests the known root relays from up to `StartupProbes` random seed
  /// peers. The callback receives the union of their responses, which may be
  /// empty.
  void
  findRelays(std::function<void(std::vector<distribution::relay_entry>)> Done);

  /// Requests a configuration version newer than the current one from up to
  /// `StartupProbes` random seed peers.
  ///
  /// \param Done called once for each peer, with `std::nullopt` if the request
  /// failed.
  void
  probe(const std::function<void(std::optional<distribution::sync_response>)>
            &Done);

  std::uint64_t bytes() const { return Client.transferredBytes(); }

private:
  std::vector<address> drawPeers();

  control_context &Context;
  net::http_client Client;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SEED_PEERS_H
