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

/// What the calls of an entry node share. Owned by the entry proxy.
struct entry_state {
  serving_proxy::context Context;
  zone_name OwnZone;
  net::http_client Client;
  generator Gen;
  /// For call ids, which must differ between nodes and between the lives of a
  /// node even when all have the same seed: the ledger of a serving node takes
  /// calls of one id for one call.
  generator IdGen;
  /// Null until the first snapshot arrives.
  std::shared_ptr<const routing_snapshot> Snapshot;
  routing::endpoint_table Table;
  routing::zone_weights Zones;
  std::unique_ptr<routing::endpoint_picker> Picker;
  /// One for each service of the configuration.
  std::map<service_name, routing::retry_budget> Budgets;
  /// Answers ask the caller to close the connection.
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
