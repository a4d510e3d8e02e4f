#ifndef GENTIANLUG_ROUTING_ENDPOINT_TABLE_H
#define GENTIANLUG_ROUTING_ENDPOINT_TABLE_H

#include "gentianlug/routing/endpoint.h"
#include "gentianlug/routing/outlier_detector.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace gentianlug::routing {

/// The endpoints of all services with their observations.
///
/// Bounded by the member table, of which it is a copy.
class endpoint_table {
public:
  explicit endpoint_table(outlier_criteria Rules = {}) : Detector(Rules) {}

  /// Takes over a new member table. Observations of a server last until it
  /// restarts or leaves. Complexity: linear in the number of members.
  void update(const std::vector<membership::member_record> &Members);

  /// Returns the endpoints of \p Service in any state.
  const std::vector<endpoint *> &endpoints(const service_name &Service) const;

  /// Returns the endpoint beside \p Node, or null.
  const endpoint *find(const node_id &Node) const;

  /// Counts a call to \p Node as under way.
  void onCallStarted(const node_id &Node);

  /// Records the end of a call that `onCallStarted` counted.
  ///
  /// \returns the ejection that follows from it, if any.
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
