#ifndef GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H
#define GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <cstdint>
#include <tuple>

namespace gentianlug::membership {

/// State of a node and of the backend server beside it.
enum class member_state : std::uint8_t {
  /// The node runs, its server has not announced itself.
  NoServer,
  Serving,
  /// Finishes what it has and takes no new work.
  Draining,
  /// Missed by its parent; removed unless it refutes in time.
  Suspect,
  /// Stopped or removed; kept for a while so that old news is ignored.
  Left,
};

/// What the zone knows of one node and its backend server.
struct member_record {
  node_id Node;
  zone_name Zone;
  address PeerAddress;
  address ControlAddress;
  /// Empty without a server.
  service_name Service;
  version_name Version;
  std::uint32_t Slots = 0;
  incarnation_number ServerIncarnation = 0;
  /// Life of the node; the record of a later life wins.
  incarnation_number Incarnation = 0;
  /// Order of the records within one life.
  std::uint64_t Sequence = 0;
  member_state State = member_state::NoServer;
  /// Relay that the node polls; empty for a root relay. Tells which relay
  /// notices when the node dies.
  node_id Parent;

  /// Returns whether this record replaces \p Other of the same node. On equal
  /// numbers the later state wins, so that all nodes agree.
  bool supersedes(const member_record &Other) const {
    return std::tie(Incarnation, Sequence, State) >
           std::tie(Other.Incarnation, Other.Sequence, Other.State);
  }

  bool operator==(const member_record &) const = default;
};

} // namespace gentianlug::membership

#endif // GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H
