#ifndef GENTIANLUG_DISTRIBUTION_SYNC_MESSAGES_H
#define GENTIANLUG_DISTRIBUTION_SYNC_MESSAGES_H

#include "gentianlug/core/address.h"
#include "gentianlug/distribution/change_log.h"
#include "gentianlug/distribution/config_history.h"
#include "gentianlug/distribution/subtree_report.h"
#include "gentianlug/membership/member_record.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::distribution {

// Control messages between nodes; `libs/wire` encodes them.

/// Node, incarnation and control listener of the sender of a message.
struct peer_identity {
  node_id Node;
  zone_name Zone;
  incarnation_number Incarnation = 0;
  address ControlAddress;
};

enum class sync_role : std::uint8_t {
  /// A child that polls its parent.
  Child,
  /// A root relay that polls another root relay.
  Relay,
  /// A single request for the newest state, answered immediately.
  Probe,
};

/// Body of `POST /v1/sync`. The first poll of a peer includes its zone,
/// incarnation and control listener; further ones include only the node,
/// because polls account for most of the control traffic.
struct sync_request {
  peer_identity From;
  sync_role Role = sync_role::Child;
  /// Whether the sender is a root relay that cannot read the platform now and
  /// needs new versions from other root relays.
  bool PlatformUnreachable = false;
  log_cursor Cursor;
  /// Version in force, used as the base of a delta.
  config_version ConfigVersion = 0;
  /// Newest version that the sender refused; it is not sent again.
  config_version RefusedVersion = 0;
  /// Digest of the member table; 0 while changes are arriving, because the
  /// tables differ anyway.
  std::uint64_t MemberDigest = 0;
  /// Digests of the buckets of the member table, in the first poll of a peer;
  /// see `membership::bucket_digests`. Empty otherwise.
  std::vector<std::uint64_t> BucketDigests;
  /// Absent if it is the same as in the previous poll.
  std::optional<subtree_report> Report;
};

/// A value below `live/` on the platform other than the configuration head; it
/// has no text if it was deleted.
struct live_value {
  std::string Key;
  object_revision Revision = 0;
  std::optional<std::string> Text;

  bool operator==(const live_value &) const = default;
};

/// Changes for the sender of a request.
struct state_update {
  /// Epoch 0 stands for the epoch of the request.
  log_cursor Cursor;
  /// Whether `Members` has all records of `SnapshotBuckets` instead of the
  /// changes since the cursor.
  bool IsSnapshot = false;
  /// Buckets that a snapshot covers; empty stands for all.
  std::vector<std::size_t> SnapshotBuckets;
  std::vector<membership::member_record> Members;
  std::vector<live_value> LiveValues;
  std::optional<config_update> Config;

  bool empty() const {
    return !IsSnapshot && Members.empty() && LiveValues.empty() && !Config;
  }
};

/// Response to `POST /v1/sync`.
struct sync_response {
  state_update Update;
  /// Nodes from the root relay to the responding node; empty if it has no path
  /// to a root. Absent if it is the same as in the previous response.
  std::optional<std::vector<node_id>> Path;
  /// Relay slot of the zone for the receiver to take.
  std::optional<std::uint32_t> FreeSlot;
  /// Whether the receiver is to send its bucket digests with the next poll,
  /// because the member tables differ.
  bool Resync = false;
  /// Newest configuration version that the sender knows; 0 if it equals the
  /// version in the request.
  config_version ConfigVersion = 0;
};

/// Body of `POST /v1/up`: member records to be forwarded to the root.
struct upstream_message {
  peer_identity From;
  std::vector<membership::member_record> Members;
};

/// Response to `POST /v1/attach`.
struct attach_response {
  enum class verdict : std::uint8_t { Admitted, Redirected, Refused };
  verdict Verdict = verdict::Refused;
  std::vector<node_id> Path;
  /// Control listener of the node to try instead.
  address RedirectTo;
  /// Delay before the next attempt, without jitter.
  std::chrono::milliseconds RetryAfter{0};
};

/// A root relay listed in a response to `GET /v1/relays`.
struct relay_entry {
  node_id Node;
  zone_name Zone;
  address ControlAddress;

  bool operator==(const relay_entry &) const = default;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_SYNC_MESSAGES_H
