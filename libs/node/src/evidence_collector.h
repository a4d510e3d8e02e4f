#ifndef GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H
#define GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H

#include "gentianlug/rollout/evidence.h"

#include <map>
#include <optional>

namespace gentianlug::node {

/// Maximum number of routes that one report lists by name; calls of further
/// routes are counted under an empty name.
inline constexpr std::size_t MaxEvidenceRoutes = 64;

/// Aggregates completed calls of the server into reports for the controller of
/// its rollout.
class evidence_collector {
public:
  /// Adds one completed call.
  ///
  /// \param Latency not set while the server is cold.
  void add(const route_name &Route, bool Failed,
           std::optional<std::chrono::microseconds> Latency);

  bool empty() const { return Routes.empty(); }

  /// Moves the collected calls into \p Report and sets its sequence number.
  void moveInto(rollout::server_evidence &Report);

private:
  std::uint64_t Sequence = 0;
  std::map<route_name, rollout::route_evidence> Routes;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H
