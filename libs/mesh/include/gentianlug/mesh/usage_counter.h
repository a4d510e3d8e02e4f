#ifndef GENTIANLUG_MESH_USAGE_COUNTER_H
#define GENTIANLUG_MESH_USAGE_COUNTER_H

#include "gentianlug/mesh/usage.h"

#include <vector>

namespace gentianlug::mesh {

/// Counts the calls of each account that begin at the local server, by window.
///
/// Keeps `KeptUsageWindows` windows. The number of accounts in a window is
/// bounded by the calls that the server can begin in it.
class usage_counter {
public:
  /// \param Process see `node_usage`.
  usage_counter(node_id Node, std::uint64_t Process, const usage_terms &Terms,
                wall_time Now);

  /// An earlier process of this node has counted calls before.
  void setHasPredecessor();
  void onCallStarted(const account_name &Account, wall_time Now);
  /// The server did not run a call that was sent to it at \p StartedAt.
  void onCallNotRun(const account_name &Account, wall_time StartedAt);

  /// Opens the windows up to \p Now, closes those that have ended, and returns
  /// the windows that have changed since the last call.
  std::vector<node_usage> takeChanges(wall_time Now);

private:
  /// Time after the end of a window in which the server may still reject a call
  /// that was counted in it.
  static constexpr std::chrono::milliseconds CloseDelay{500};

  /// Returns the open window \p Window, or null.
  node_usage *findOpen(usage_window Window);
  void openWindows(usage_window Current);

  node_id Node;
  std::uint64_t Process;
  usage_terms Terms;
  usage_window FirstWindow;
  bool HasPredecessor = false;
  std::uint64_t Revision = 0;
  std::uint64_t TakenRevision = 0;
  std::map<usage_window, node_usage> Windows;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_USAGE_COUNTER_H
