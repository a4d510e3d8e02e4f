#include "seed_peers.h"

#include "gentianlug/wire/control_messages.h"

#include <algorithm>
#include <memory>

namespace gentianlug::node {

using namespace distribution;
using std::chrono::milliseconds;

static constexpr milliseconds RelaysTimeout{500};

/// A response may contain a complete configuration.
static constexpr milliseconds ProbeTimeout{3000};

std::vector<address> seed_peers::drawPeers() {
  std::vector<address> Seeds = Context.Settings.SeedPeers;
  std::erase(Seeds, Context.Settings.ControlListen);
  std::shuffle(Seeds.begin(), Seeds.end(), Context.Gen);
  if (Seeds.size() > StartupProbes)
    Seeds.resize(StartupProbes);
  return Seeds;
}

namespace {

/// Collects the responses of several seed peers to one request.
struct relay_search {
  std::size_t PendingResponses = 0;
  std::vector<relay_entry> Relays;
  std::function<void(std::vector<relay_entry>)> Done;

  void onResponse(const result<net::http_response> &Answer) {
    auto Listed =
        Answer && Answer->Status == 200
            ? wire::decodeRelayList(Answer->Body)
            : result<std::vector<relay_entry>>(std::vector<relay_entry>());
    if (Listed)
      for (relay_entry &Relay : *Listed)
        if (std::find(Relays.begin(), Relays.end(), Relay) == Relays.end())
          Relays.push_back(std::move(Relay));
    if (--PendingResponses == 0)
      Done(std::move(Relays));
  }
};

} // namespace

void seed_peers::findRelays(
    std::function<void(std::vector<relay_entry>)> Done) {
  std::vector<address> Seeds = drawPeers();
  if (Seeds.empty())
    return Done({});
  auto Search = std::make_shared<relay_search>();
  Search->PendingResponses = Seeds.size();
  Search->Done = std::move(Done);
  net::http_request Request;
  Request.Target = "/v1/relays";
  for (const address &Seed : Seeds)
    Client.send(Seed, Request, RelaysTimeout,
                [Search](const result<net::http_response> &Answer) {
                  Search->onResponse(Answer);
                });
}

void seed_peers::probe(
    const std::function<void(std::optional<sync_response>)> &Done) {
  sync_request Probe;
  Probe.From = Context.self();
  Probe.Role = sync_role::Probe;
  Probe.ConfigVersion = Context.State.configVersion();
  Probe.RefusedVersion = Context.State.refusedVersion();
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/sync";
  Request.Body = wire::encode(Probe);
  for (const address &Seed : drawPeers())
    Client.send(Seed, Request, ProbeTimeout,
                [Done](const result<net::http_response> &Answer) {
                  if (!Answer || Answer->Status != 200)
                    return Done(std::nullopt);
                  auto Response = wire::decodeSyncResponse(Answer->Body);
                  if (!Response)
                    return Done(std::nullopt);
                  Done(std::move(*Response));
                });
}

} // namespace gentianlug::node
