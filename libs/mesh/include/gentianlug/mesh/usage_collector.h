#ifndef GENTIANLUG_MESH_USAGE_COLLECTOR_H
#define GENTIANLUG_MESH_USAGE_COLLECTOR_H

#include "gentianlug/mesh/usage.h"

#include <optional>
#include <set>
#include <vector>

namespace gentianlug::mesh {

/// Counts of one window, summed over the nodes that reported it.
struct usage_total {
  account_counts Calls;
  /// Expected nodes that have reported no final counts.
  std::size_t MissingNodes = 0;
  /// Expected nodes that have reported nothing, or may have lost calls.
  std::size_t UncertainNodes = 0;
};

/// Collects the counts of several nodes and remembers which of them the next
/// collector has.
///
/// Counts are kept for each process of each node, so that counts that arrive
/// twice, late or over several ways are summed once. Holds the windows from
/// `KeptUsageWindows` before the current one, and at most `MaxEntries` entries;
/// further entries are dropped.
class usage_collector {
public:
  static constexpr std::size_t MaxEntries = 200000;

  /// Adds counts unless they are older than those held, or than the windows
  /// that are kept. Returns false if they were dropped for lack of room.
  bool add(const node_usage &Usage, usage_window Current);

  /// Returns the entries that the next collector lacks, of windows up to
  /// \p Last.
  std::vector<node_usage> unacknowledged(usage_window Last) const;
  /// The next collector has received \p Entries.
  void acknowledge(const std::vector<node_usage> &Entries);
  /// Another node is the next collector: it has received nothing.
  void resetAcknowledged();

  /// Returns the oldest window with counts, if any.
  std::optional<usage_window> oldestWindow() const;

  usage_total total(usage_window Window,
                    const std::set<node_id> &Expected) const;

private:
  struct entry {
    node_usage Usage;
    std::uint64_t AcknowledgedRevision = 0;
  };
  using process_key = std::pair<node_id, std::uint64_t>;

  std::map<usage_window, std::map<process_key, entry>> Windows;
  std::size_t EntryCount = 0;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_USAGE_COLLECTOR_H
