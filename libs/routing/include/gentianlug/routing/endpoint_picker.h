#ifndef GENTIANLUG_ROUTING_ENDPOINT_PICKER_H
#define GENTIANLUG_ROUTING_ENDPOINT_PICKER_H

#include "gentianlug/core/random.h"
#include "gentianlug/core/result.h"
#include "gentianlug/routing/endpoint.h"
#include "gentianlug/routing/zone_weights.h"

#include <string>
#include <vector>

namespace gentianlug::routing {

/// Input of an endpoint choice.
struct pick_request {
  /// All endpoints of the service, in any state.
  const std::vector<endpoint *> &Endpoints;
  /// The version that the call should go to.
  const version_name &Version;
  /// The configured version, which is used when `Version` has no healthy
  /// endpoint. No other version is used, since it may have been rolled back.
  const version_name &Fallback;
  const zone_name &OwnZone;
  std::chrono::microseconds ZoneRoundTrip{0};
  const zone_weights &ZoneWeights;
  /// Nodes of earlier attempts of the call; avoided while there are others.
  const std::vector<node_id> &TriedNodes;
};

/// The chosen endpoint of a call, with the reason for the choice.
struct pick {
  const endpoint *Endpoint = nullptr;
  /// The endpoint that was compared and not chosen, or null.
  const endpoint *Alternative = nullptr;
  const char *Reason = "";
};

/// Chooses the endpoint of a call.
class endpoint_picker {
public:
  virtual ~endpoint_picker() = default;

  /// \returns the choice, or `NoServer` or `AllZonesOutOfService`.
  virtual result<pick> pickEndpoint(const pick_request &Request, generator &Gen,
                                    steady_time Now) const = 0;
};

/// Picks the less utilized of two random endpoints, preferring the own zone.
///
/// Members that are not serving and zones that are out of service are excluded.
/// Ejected endpoints are excluded too; of the configured version, at most half
/// of the endpoints and never the last one. Suspect members are used only when
/// no member is serving.
///
/// Complexity: linear in the number of endpoints.
class two_choices_picker final : public endpoint_picker {
public:
  result<pick> pickEndpoint(const pick_request &Request, generator &Gen,
                            steady_time Now) const override;
};

/// Returns a log text that explains \p Pick: node, zone, load and reason.
std::string describePick(const pick &Pick, steady_time Now);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ENDPOINT_PICKER_H
