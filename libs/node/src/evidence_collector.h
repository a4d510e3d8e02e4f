#ifndef GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H
#define GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H

#include "gentianlug/rollout/evidence.h"

#include <map>
#include <optional>

namespace gentianlug::node {

/// Routes that one report names; calls of further routes are counted under an
/// empty name.
inline constexpr std::size_t MaxEvidenceRoutes = 64;

/// Collects finished calls of the server into reports for its rollout.
class evidence_collector {
public:
  /// Adds one finished call.
  ///
  /// \param Latency nothing when the server is not warm.
  void add(const route_name &Route, bool Failed,
           std::optional<std::chrono::microseconds> Latency);

  bool empty() const { return Routes.empty(); }

  /// Moves the calls into \p Report and numbers it.
  void takeInto(rollout::server_evidence &Report);

private:
  std::uint64_t Sequence = 0;
  std::map<route_name, rollout::route_evidence> Routes;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_EVIDENCE_COLLECTOR_H
