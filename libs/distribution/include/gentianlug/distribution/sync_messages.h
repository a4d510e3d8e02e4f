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

/// Name, life and control listener of the sender of a message.
struct peer_identity {
  node_id Node;
  zone_name Zone;
  incarnation_number Incarnation = 0;
  address ControlAddress;
};

enum class sync_role : std::uint8_t {
  /// Polls its parent and reports to it.
  Child,
  /// A root relay that polls another root relay.
  Relay,
  /// Asks once for the newest state, without a hold.
  Probe,
};

/// Body of `POST /v1/sync`. The first poll of a peer names its zone, life and
/// control listener; further ones name only the node, because polls are most
/// of the control traffic.
struct sync_request {
  peer_identity From;
  sync_role Role = sync_role::Child;
  /// Whether a root relay cannot read the platform now, so that it needs new
  /// versions from the others.
  bool PlatformUnreachable = false;
  log_cursor Cursor;
  /// Version in force, the base of a delta.
  config_version ConfigVersion = 0;
  /// Newest version that the sender refused; it is not sent again.
  config_version RefusedVersion = 0;
  /// Digest of the member table; 0 while news arrive, when the tables differ
  /// anyway.
  std::uint64_t MemberDigest = 0;
  /// Digests of the buckets of the member table, in the first poll of a peer;
  /// see `membership::bucket_digests`. Empty otherwise.
  std::vector<std::uint64_t> BucketDigests;
  /// Nothing when it is the same as in the poll before.
  std::optional<subtree_report> Report;
};

/// A value below `liveValues/` on the platform, without the configuration head;
/// no text when it was deleted.
struct live_value {
  std::string Key;
  object_revision Revision = 0;
  std::optional<std::string> Text;

  bool operator==(const live_value &) const = default;
};

/// What is new for the sender of a request.
struct state_update {
  /// Epoch 0 stands for the epoch of the request.
  log_cursor Cursor;
  /// Whether the members are everything that the buckets hold, instead of the
  /// changes since the cursor.
  bool IsSnapshot = false;
  /// Buckets of a snapshot; empty stands for all.
  std::vector<std::size_t> SnapshotBuckets;
  std::vector<membership::member_record> Members;
  std::vector<live_value> LiveValues;
  std::optional<config_update> Config;

  bool empty() const {
    return !IsSnapshot && Members.empty() && LiveValues.empty() && !Config;
  }
};

/// Answer to `POST /v1/sync`.
struct sync_response {
  state_update Update;
  /// Nodes from the root relay to the answering one; empty when it has no way
  /// to a root. Nothing when it is the same as in the response before.
  std::optional<std::vector<node_id>> Path;
  /// Relay slot of the zone that the receiver shall take.
  std::optional<std::uint32_t> FreeSlot;
  /// Whether the receiver shall send its bucket digests with its next poll,
  /// because the tables differ.
  bool Resync = false;
  /// Newest configuration version that the sender knows; 0 when it is the one
  /// that the request names.
  config_version ConfigVersion = 0;
};

/// Body of `POST /v1/up`: records for the root.
struct upstream_message {
  peer_identity From;
  std::vector<membership::member_record> Members;
};

/// Answer to `POST /v1/attach`.
struct attach_response {
  enum class verdict : std::uint8_t { Admitted, Redirected, Refused };
  verdict Verdict = verdict::Refused;
  std::vector<node_id> Path;
  /// Control listener to try instead.
  address RedirectTo;
  /// Delay before the next attempt, without jitter.
  std::chrono::milliseconds RetryAfter{0};
};

/// One root relay, as an answer to `GET /v1/relays` lists it.
struct relay_entry {
  node_id Node;
  zone_name Zone;
  address ControlAddress;

  bool operator==(const relay_entry &) const = default;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_SYNC_MESSAGES_H
