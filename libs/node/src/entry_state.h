#ifndef GENTIANLUG_NODE_ENTRY_STATE_H
#define GENTIANLUG_NODE_ENTRY_STATE_H

#include "gentianlug/core/random.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/routing/endpoint_picker.h"
#include "gentianlug/routing/endpoint_table.h"
#include "gentianlug/routing/retry_budget.h"
#include "gentianlug/routing/zone_weights.h"
#include "serving_proxy.h"

#include <map>
#include <memory>

namespace gentianlug::node {

/// State shared by all calls of an entry node. Owned by the entry proxy.
struct entry_state {
  serving_proxy::context Context;
  zone_name OwnZone;
  net::http_client Client;
  generator Gen;
  /// For call ids. They must be unique across nodes and restarts even when all
  /// nodes have the same seed, since the ledger of a serving node treats calls
  /// with one id as one call.
  generator IdGen;
  /// Null until the first snapshot arrives.
  std::shared_ptr<const routing_snapshot> Snapshot;
  routing::endpoint_table Table;
  routing::zone_weights Zones;
  std::unique_ptr<routing::endpoint_picker> Picker;
  /// Retry budgets by service; one for each service of the configuration.
  std::map<service_name, routing::retry_budget> Budgets;
  /// Responses carry `Connection: close`.
  bool ClosingConnections = false;

  entry_state(serving_proxy::context C, zone_name Zone,
              net::http_client_limits Limits)
      : Context(C), OwnZone(std::move(Zone)), Client(C.Loop, Limits),
        Gen(C.Seed ? C.Seed : std::random_device()()), IdGen(seedIds()),
        Picker(std::make_unique<routing::two_choices_picker>()) {}

  static generator seedIds() {
    std::random_device Device;
    std::seed_seq Seeds{Device(), Device(), Device(), Device()};
    return generator(Seeds);
  }

  steady_time now() const { return Context.Clock.steadyNow(); }
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ENTRY_STATE_H
