#ifndef GENTIANLUG_ROUTING_ENDPOINT_PICKER_H
#define GENTIANLUG_ROUTING_ENDPOINT_PICKER_H

#include "gentianlug/core/random.h"
#include "gentianlug/core/result.h"
#include "gentianlug/routing/endpoint.h"
#include "gentianlug/routing/zone_weights.h"

#include <string>
#include <vector>

namespace gentianlug::routing {

/// What a picker needs to know of one call.
struct pick_request {
  /// All endpoints of the service, in any state.
  const std::vector<endpoint *> &Endpoints;
  /// The version that the call shall go to.
  const version_name &Version;
  /// The configured version, which takes over when `Version` has no healthy
  /// endpoint. No other version does: it may have been rolled back.
  const version_name &Fallback;
  const zone_name &OwnZone;
  std::chrono::microseconds ZoneRoundTrip{0};
  const zone_weights &ZoneWeights;
  /// Nodes that earlier tries of the call used; avoided while others exist.
  const std::vector<node_id> &TriedNodes;
};

/// The endpoint of one call, with the reason for it.
struct pick {
  const endpoint *Endpoint = nullptr;
  /// The compared endpoint that lost, or null.
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

/// Two random choices by utilization, own zone first.
///
/// Excluded are members that do not serve, zones that are out, and ejected
/// endpoints, of which at most half and never the last one of the configured
/// version stay excluded. Suspect members are used only when nobody else is
/// left.
///
/// Complexity: linear in the number of endpoints.
class two_choices_picker final : public endpoint_picker {
public:
  result<pick> pickEndpoint(const pick_request &Request, generator &Gen,
                            steady_time Now) const override;
};

/// Writes the line that explains \p Pick: node, zone, load and reason.
std::string describePick(const pick &Pick, steady_time Now);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ENDPOINT_PICKER_H
