#ifndef GENTIANLUG_ROLLOUT_CUMULATIVE_EVIDENCE_H
#define GENTIANLUG_ROLLOUT_CUMULATIVE_EVIDENCE_H

#include "gentianlug/rollout/evidence.h"

#include <map>
#include <optional>

namespace gentianlug::rollout {

/// Turns reports that count from the start of a rollout into increments.
///
/// A report that is lost, or that another controller received, is contained in
/// the next one. At most `MaxEvidenceServers` nodes are tracked; reports of
/// further nodes are ignored.
class cumulative_evidence {
public:
  /// Returns what \p Report adds to the last report of the same node, or
  /// nothing if it is a duplicate or out of order. `route_evidence::Running` is
  /// taken from the report as it is.
  ///
  /// Complexity: linear in the routes of the report.
  std::optional<server_evidence> advance(const server_evidence &Report);

private:
  std::map<node_id, server_evidence> LastReports;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CUMULATIVE_EVIDENCE_H
