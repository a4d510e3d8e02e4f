#ifndef GENTIANLUG_MESH_RELAY_SELECTION_H
#define GENTIANLUG_MESH_RELAY_SELECTION_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/model.h"

#include <unordered_map>

namespace gentianlug::mesh {

/// Average number of nodes per relay. Larger zones are split into groups with a
/// relay each, so that the load of a relay does not grow with the fleet.
inline constexpr std::size_t NodesPerRelay = 64;

/// The relay of a group and the nodes that may substitute for it.
inline constexpr std::size_t RelaysPerGroup = 3;

/// Returns the nodes that may relay changes of the store to \p Self, best
/// first: those of its zone and group, by decreasing link bandwidth. Nodes of a
/// group that know the same servers get the same order.
///
/// Complexity: n log n in the servers of the zone.
std::vector<server_record> rankRelays(const std::vector<server_record> &Servers,
                                      const zone_name &Zone,
                                      const node_id &Self);

/// Timeouts and intervals for receiving changes through a relay. They are
/// derived from the time within which a configuration has to be active.
struct relay_timing {
  /// Time for which a relay holds a long poll while nothing changes.
  std::chrono::milliseconds LongPollTime{1000};
  /// A relay that has not responded this long after `LongPollTime` has failed.
  std::chrono::milliseconds ResponseGrace{500};
  /// Time for which a node searches for a relay after it has lost one.
  std::chrono::milliseconds SearchTimeout{700};
  /// Longest time between two requests to the store while neither a node nor
  /// its relay can reach it. Such requests are charged at the full price, but a
  /// node has to know all changes three seconds after the store is reachable
  /// again.
  std::chrono::milliseconds StoreProbeInterval{1200};
  /// Interval at which a relay checks that the store responds.
  std::chrono::milliseconds HealthCheckInterval{600};
  /// Time without a response after which a relay has lost the store.
  std::chrono::milliseconds HealthCheckTimeout{500};
};

/// Returns the times for \p ConfigTime; they do not grow beyond 2 s.
relay_timing relayTimingFor(std::chrono::milliseconds ConfigTime);

/// Relays that failed to serve a node, each for a time.
///
/// If the relay of a group cannot serve a node, the next candidate is asked to
/// substitute for it. Without substitutes, each node of the group would watch
/// the store, and the store calls for a change would grow with the group.
class relay_failures {
public:
  /// Avoids \p Relay until \p Until.
  void avoid(const node_id &Relay, steady_time Until);
  /// \p Relay has served the node: it is no longer avoided.
  void onServed(const node_id &Relay) { AvoidedUntil.erase(Relay); }
  void clear() { AvoidedUntil.clear(); }
  /// Returns the relays that \p Candidates leaves to try, best first: the
  /// relay and its substitutes, without those that are avoided.
  std::vector<server_record>
  usableRelays(const std::vector<server_record> &Candidates,
               steady_time Now) const;

private:
  std::unordered_map<node_id, steady_time> AvoidedUntil;
};

/// State of a node that receives no changes and searches for its relay.
struct relay_search {
  steady_time StartedAt;
  /// The process has just started and knows only the servers that a read at the
  /// reduced price returned, if any.
  bool ProcessStarting = false;
  /// The first read returned no other node: all nodes are starting.
  bool MeshIsNew = false;
  /// The last node that was queried is no relay, or does not respond.
  bool Rejected = false;
};

enum class search_step {
  /// Read the servers again at the reduced price.
  ReadServers,
  /// Query the first candidate.
  QueryRelay,
  /// Watch the store directly: this node is the relay, or none was found.
  WatchStore,
};

/// Returns the next step of a node to receive changes again.
///
/// The search ends early enough for a node without a relay to watch the store
/// itself before changes have to be active.
search_step nextSearchStep(const relay_search &Search,
                           const relay_timing &Timing,
                           const std::vector<server_record> &Candidates,
                           const node_id &Self, steady_time Now);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_RELAY_SELECTION_H
