#ifndef GENTIANLUG_MESH_USAGE_DUTY_H
#define GENTIANLUG_MESH_USAGE_DUTY_H

#include "gentianlug/mesh/usage_collector.h"

#include <optional>

namespace gentianlug::mesh {

/// Progress of the usage reports. It is stored together with the lease of the
/// duty, so that each holder continues where its predecessor stopped.
struct usage_progress {
  /// Last window whose report is decided; 0 before the first one.
  usage_window DecidedWindow = 0;
  /// Counts of that window, which no holder may change any more. Empty if the
  /// window is not reported, or if the counts are too large to be stored.
  std::optional<account_counts> Calls;
  /// Whether the report has been accepted.
  bool IsAccepted = false;

  friend bool operator==(const usage_progress &,
                         const usage_progress &) = default;
};

enum class usage_step : std::uint8_t {
  Wait,
  /// Store `Next` before its window is reported.
  Decide,
  /// Send the report of the decided window.
  Report,
};

/// Next step of the holder of the duty.
struct usage_action {
  usage_step Step = usage_step::Wait;
  usage_progress Next;
  /// Windows that are left out because their counts are not known.
  usage_window SkippedWindows = 0;
  /// Nodes of the decided window whose counts are not known for certain.
  std::size_t UncertainNodes = 0;
};

/// Decides the next step of the holder of the usage duty.
///
/// The counts of a window are stored before they are sent, so no holder can
/// report other counts for it. A report waits for the nodes that have not
/// responded until half of the time in which it is due. A window is left out if
/// the counts of more than half of the nodes are not known for certain, for
/// example because they all lost power: a wrong report could not be corrected.
///
/// \param Expected the nodes with a server.
/// \param CountsMayBeOnTheWay whether the holder has taken over so recently
/// that
///   other nodes may not have sent it their counts yet.
usage_action nextUsageStep(const usage_progress &Stored,
                           const usage_collector &Collected,
                           const std::set<node_id> &Expected,
                           const usage_terms &Terms, wall_time Now,
                           bool CountsMayBeOnTheWay = false);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_USAGE_DUTY_H
