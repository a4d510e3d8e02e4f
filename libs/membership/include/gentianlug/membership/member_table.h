#ifndef GENTIANLUG_MEMBERSHIP_MEMBER_TABLE_H
#define GENTIANLUG_MEMBERSHIP_MEMBER_TABLE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/membership/member_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace gentianlug::membership {

/// Most records of a table; records of further nodes are ignored. Twice the
/// design size of 10,000 nodes.
inline constexpr std::size_t MaxMembers = 20000;

/// Most records of nodes that have left; the oldest is dropped first.
inline constexpr std::size_t MaxTombstones = 4096;

/// Buckets of a table. Two tables compare the digests of their buckets and
/// exchange only the records of those that differ.
inline constexpr std::size_t DigestBucketCount = 64;
using bucket_digests = std::array<std::uint64_t, DigestBucketCount>;

/// Returns the bucket of a node.
std::size_t digestBucket(const node_id &Node);

/// Times of the failure detection.
struct failure_detection_timeouts {
  /// From suspicion to removal, without a refutation.
  std::chrono::milliseconds SuspicionTimeout{3000};
  /// How long the record of a removed node suppresses late updates about it.
  std::chrono::milliseconds TombstoneRetention{120000};
  /// How long a node may name a parent that is gone, or that does not know it
  /// as a child, before it is suspected. Covers one re-attach.
  std::chrono::milliseconds OrphanGracePeriod{8000};
};

enum class apply_outcome : std::uint8_t {
  /// The record is not newer than the known one.
  Ignored,
  Changed,
  /// The record claimed that this node is gone or older than it is; the own
  /// record has a higher number now and must be published again.
  Refuted,
};

/// The known members, merged by (incarnation, sequence, state).
class member_table {
public:
  explicit member_table(node_id Self, failure_detection_timeouts Times = {});

  /// Merges one record from another node. Complexity: logarithmic.
  apply_outcome apply(const member_record &Record, steady_time Now);

  /// Sets the record of this node. Raises its sequence, and its incarnation
  /// when the table knows a later life of the same name.
  ///
  /// \returns the record to publish.
  const member_record &setOwnRecord(member_record Own, steady_time Now);

  /// Marks a node as suspect. Returns whether that changed its record.
  bool markSuspect(const node_id &Node, steady_time Now);

  /// Removes suspects whose time has passed and drops old tombstones.
  ///
  /// \returns the nodes whose records changed to `Left`.
  std::vector<node_id> expire(steady_time Now);

  /// Suspects nodes whose parent is gone, and nodes that name this node as
  /// their parent without polling it, after the grace.
  ///
  /// \param IsChild whether a node polls this node.
  /// \param IsRoot whether a node without a parent is a known root relay.
  /// \returns the nodes that became suspect.
  /// Complexity: linear in the number of members.
  template <class IsChild, class IsRoot>
  std::vector<node_id> suspectOrphans(steady_time Now, IsChild &&Child,
                                      IsRoot &&Root) {
    std::vector<node_id> Suspected;
    for (auto &[Node, Entry] : Entries) {
      const member_record &Record = Entry.Record;
      bool Covered = Node == Self || isSuspectOrLeft(Record) ||
                     (Record.Parent.empty()   ? Root(Node)
                      : Record.Parent == Self ? Child(Node)
                                              : isAlive(Record.Parent));
      if (Covered)
        Entry.ParentSeenAt = Now;
      else if (Now - Entry.ParentSeenAt >= Timeouts.OrphanGracePeriod)
        Suspected.push_back(Node);
    }
    for (const node_id &Node : Suspected)
      markSuspect(Node, Now);
    return Suspected;
  }

  /// Returns the record of \p Node, or null.
  const member_record *find(const node_id &Node) const;

  /// Returns all records, with those of nodes that have left, by node.
  std::vector<member_record> allRecords() const;

  /// Returns the serving and draining members, by node, for routing.
  std::vector<member_record> routableMembers() const;

  /// Returns a hash of 63 bits over the records of nodes that have not left.
  /// Equal tables have equal digests. Complexity: constant.
  std::uint64_t digest() const;

  /// Returns the digests of the buckets, each of 63 bits.
  const bucket_digests &bucketDigests() const { return BucketDigests; }

  /// Calls \p Visit with each record, by node.
  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Node, Entry] : Entries)
      Visit(Entry.Record);
  }

  /// Returns a number that rises whenever `routableMembers` would return
  /// something else, apart from sequences and parents, which routing does not
  /// use.
  std::uint64_t routingGeneration() const { return RoutingGeneration; }

  /// Returns the nodes that are root relays by their own records.
  std::vector<member_record> rootRelays() const;

  std::size_t size() const { return Entries.size(); }

  /// Returns the number of nodes that have not left and are not suspected.
  std::size_t liveCount() const { return LiveMembers; }

private:
  struct entry {
    member_record Record;
    steady_time ChangedAt{};
    steady_time ParentSeenAt{};
  };

  static bool isSuspectOrLeft(const member_record &Record) {
    return Record.State == member_state::Suspect ||
           Record.State == member_state::Left;
  }
  bool isAlive(const node_id &Node) const;
  void store(const member_record &Record, steady_time Now);
  apply_outcome refute(const member_record &Claim, steady_time Now);
  void dropTombstones(steady_time Now);

  node_id Self;
  failure_detection_timeouts Timeouts;
  std::map<node_id, entry> Entries;
  std::set<node_id> Suspects;
  /// Removed nodes in the order of their removal.
  std::deque<node_id> Tombstones;
  bucket_digests BucketDigests{};
  std::size_t LiveMembers = 0;
  std::uint64_t RoutingGeneration = 0;
};

} // namespace gentianlug::membership

#endif // GENTIANLUG_MEMBERSHIP_MEMBER_TABLE_H
