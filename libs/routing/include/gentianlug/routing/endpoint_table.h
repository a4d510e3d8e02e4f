#ifndef GENTIANLUG_ROUTING_ENDPOINT_TABLE_H
#define GENTIANLUG_ROUTING_ENDPOINT_TABLE_H

#include "gentianlug/routing/endpoint.h"
#include "gentianlug/routing/outlier_detector.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace gentianlug::routing {

/// Endpoints of all services, with the state observed from their calls.
///
/// Its size is bounded by the member table that it is updated from.
class endpoint_table {
public:
  explicit endpoint_table(outlier_criteria Criteria = {})
      : Detector(Criteria) {}

  /// Updates the endpoints from \p Members. The state observed of a server is
  /// kept until it restarts or leaves. Complexity: linear in the number of
  /// members.
  void update(const std::vector<membership::member_record> &Members);

  /// Returns all endpoints of \p Service, in any state.
  const std::vector<endpoint *> &endpoints(const service_name &Service) const;

  /// Returns the endpoint of \p Node, or null.
  const endpoint *find(const node_id &Node) const;

  /// Counts a call to \p Node as in flight.
  void onCallStarted(const node_id &Node);

  /// Records the outcome of a call that `onCallStarted` counted.
  ///
  /// \returns the ejection that it causes, if any.
  std::optional<ejection> onCallFinished(const node_id &Node,
                                         const call_observation &Observation,
                                         steady_time Now);

private:
  outlier_detector Detector;
  std::unordered_map<node_id, std::unique_ptr<endpoint>> Endpoints;
  std::unordered_map<service_name, std::vector<endpoint *>> Services;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ENDPOINT_TABLE_H
