#ifndef GENTIANLUG_MESH_RELAY_SELECTION_H
#define GENTIANLUG_MESH_RELAY_SELECTION_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/model.h"

namespace gentianlug::mesh {

/// Nodes that share one relay. More nodes make more groups, so that the work of
/// a relay does not grow with the fleet.
inline constexpr std::size_t NodesPerRelay = 64;

/// Returns the nodes that may relay the store to \p Self, best first: those of
/// its zone and group, strong links first. All nodes that know the same servers
/// get the same order for a group.
///
/// Complexity: n log n in the servers of the zone.
std::vector<server_record> rankRelays(const std::vector<server_record> &Servers,
                                      const zone_name &Zone,
                                      const node_id &Self);

/// How long the steps from a loss to the next change may take. They follow from
/// the time within which configurations have to be in force.
struct relay_timing {
  /// A relay holds a question for this time while nothing changes ...
  std::chrono::milliseconds LongPollTime{1000};
  /// ... and counts as silent after this time beyond it.
  std::chrono::milliseconds ResponseGrace{500};
  /// How long a node looks for the next relay when it has lost one.
  std::chrono::milliseconds SearchTimeout{700};
  /// The longest pause between two questions to the store while it is away for
  /// a node and for its relay. Each is priced in full then, and a node has to
  /// know all changes three seconds after the store is back.
  std::chrono::milliseconds StoreProbeInterval{1200};
  /// A relay asks the store this often whether it still answers ...
  std::chrono::milliseconds HealthCheckInterval{600};
  /// ... and has lost it after this time without an answer.
  std::chrono::milliseconds HealthCheckTimeout{500};
};

/// Returns the times for \p ConfigTime, the longest ones from 2 s on.
relay_timing relayTimingFor(std::chrono::milliseconds ConfigTime);

/// A node that hears of no changes, and since when it looks for its relay.
struct relay_search {
  steady_time StartedAt;
  /// The process has just started: it knows at most what a cheap read showed.
  bool ProcessStarting = false;
  /// The first read showed no other node: all nodes start just now.
  bool MeshIsNew = false;
  /// The node that was asked last does not relay, or does not answer.
  bool Rejected = false;
};

enum class search_step {
  /// Read the servers again, at the reduced price.
  ReadServers,
  /// Ask the first node of the order.
  QueryRelay,
  /// Watch the store: this node is the relay, or there is none.
  WatchStore,
};

/// Returns what a node does to hear of changes again.
///
/// The limits of the search lie below the times within which changes have to be
/// in force: a node that finds no relay watches the store in time.
search_step nextSearchStep(const relay_search &Search,
                           const relay_timing &Times,
                           const std::vector<server_record> &Order,
                           const node_id &Self, steady_time Now);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_RELAY_SELECTION_H
