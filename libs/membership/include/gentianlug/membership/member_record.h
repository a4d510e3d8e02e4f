#ifndef GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H
#define GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <cstdint>
#include <tuple>

namespace gentianlug::membership {

/// State of a node and of the backend server beside it.
enum class member_state : std::uint8_t {
  /// The node runs, but its server has not announced itself.
  NoServer,
  Serving,
  /// Finishes its calls and accepts no new ones.
  Draining,
  /// Suspected to have failed; removed unless it refutes the suspicion in time.
  Suspect,
  /// Stopped or removed; the record is kept for some time as a tombstone, so
  /// that outdated records of the node are ignored.
  Left,
};

/// Membership record of a node and its backend server.
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
  /// Identifies the run of the node since its last start; a higher one
  /// supersedes.
  incarnation_number Incarnation = 0;
  /// Orders the records within one incarnation.
  std::uint64_t Sequence = 0;
  member_state State = member_state::NoServer;
  /// Relay that the node polls, which detects the failure of the node; empty
  /// for a root relay.
  node_id Parent;

  /// Returns whether this record replaces \p Other of the same node. With equal
  /// incarnation and sequence, the state that is later in `member_state` takes
  /// precedence, so that all nodes agree.
  bool supersedes(const member_record &Other) const {
    return std::tie(Incarnation, Sequence, State) >
           std::tie(Other.Incarnation, Other.Sequence, Other.State);
  }

  bool operator==(const member_record &) const = default;
};

} // namespace gentianlug::membership

#endif // GENTIANLUG_MEMBERSHIP_MEMBER_RECORD_H
