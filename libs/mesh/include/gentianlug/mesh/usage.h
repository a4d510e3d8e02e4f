#ifndef GENTIANLUG_MESH_USAGE_H
#define GENTIANLUG_MESH_USAGE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace gentianlug::mesh {

/// Number of an accounting window. Window k begins k window lengths after the
/// start of 1970.
using usage_window = std::int64_t;

using account_counts = std::map<account_name, std::uint64_t>;

/// Number of windows for which counts are kept, the current one included.
inline constexpr usage_window KeptUsageWindows = 8;

/// Accounting windows and the terms of their reports.
struct usage_terms {
  std::chrono::milliseconds WindowLength{5000};
  /// Time after the end of a window within which its report is due.
  std::chrono::milliseconds ReportDeadline{10000};
  /// Time within which two holders of the duty may not alternate.
  std::chrono::milliseconds LeaseTime{3000};

  usage_window windowAt(wall_time Time) const;
  wall_time beginOf(usage_window Window) const;
  wall_time endOf(usage_window Window) const { return beginOf(Window + 1); }
};

/// Calls of each account that began at the server beside one node in one
/// window, as counted by one process of that node.
struct node_usage {
  node_id Node;
  /// Random number that tells apart the processes of a node. Their counts add
  /// up.
  std::uint64_t Process = 0;
  usage_window Window = 0;
  /// Increases with each change.
  std::uint64_t Revision = 0;
  /// The window has ended, and the counts no longer change.
  bool IsFinal = false;
  /// An earlier process of the node may have counted calls of this window and
  /// lost them.
  bool MayLackCalls = false;
  account_counts Calls;

  friend bool operator==(const node_usage &, const node_usage &) = default;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_USAGE_H
