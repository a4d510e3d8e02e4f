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

/// Largest number of records in a table, twice the design size of 10,000 nodes.
/// Records of further nodes are ignored.
inline constexpr std::size_t MaxMembers = 20000;

/// Largest number of records of nodes that have left; the oldest are dropped
/// first.
inline constexpr std::size_t MaxTombstones = 4096;

/// Number of digest buckets of a table. Two tables compare the digests of their
/// buckets and exchange only the records of the buckets that differ.
inline constexpr std::size_t DigestBucketCount = 64;
using bucket_digests = std::array<std::uint64_t, DigestBucketCount>;

/// Returns the index of the bucket of \p Node.
std::size_t digestBucket(const node_id &Node);

/// Timeouts of the failure detection.
struct failure_detection_timeouts {
  /// Time from suspicion to removal, unless the node refutes the suspicion.
  std::chrono::milliseconds SuspicionTimeout{3000};
  /// Time for which the record of a removed node suppresses late records of it.
  std::chrono::milliseconds TombstoneRetention{120000};
  /// Time for which a node may name a parent that has failed, or that does not
  /// have it as a child, before it is suspected. Long enough to attach to
  /// another parent.
  std::chrono::milliseconds OrphanGracePeriod{8000};
};

enum class apply_outcome : std::uint8_t {
  /// The record does not supersede the known one, or the table is full.
  Ignored,
  Changed,
  /// The record claimed to supersede the record of this node. The own record
  /// now has a higher sequence or incarnation and must be published again.
  Refuted,
};

/// Table of the known members. Records of the same node are merged by
/// (incarnation, sequence, state).
class member_table {
public:
  explicit member_table(node_id Self, failure_detection_timeouts Timeouts = {});

  /// Merges one record from another node. Complexity: logarithmic.
  apply_outcome apply(const member_record &Record, steady_time Now);

  /// Sets the record of this node. Increments its sequence, and raises its
  /// incarnation to the known one when that is higher.
  ///
  /// \returns the record to publish.
  const member_record &setOwnRecord(member_record Own, steady_time Now);

  /// Marks a node as suspect. Returns whether that changed its record.
  bool markSuspect(const node_id &Node, steady_time Now);

  /// Removes suspects after `SuspicionTimeout` and drops old tombstones.
  ///
  /// \returns the nodes whose records changed to `Left`.
  std::vector<node_id> expire(steady_time Now);

  /// Marks nodes as suspect whose parent has failed, and nodes that name this
  /// node as their parent without polling it, after `OrphanGracePeriod`.
  ///
  /// \param Child returns whether a node polls this node.
  /// \param Root returns whether a node without a parent is a known root relay.
  /// \returns the nodes that became suspect.
  /// Complexity: linear in the number of members.
  template <class IsChild, class IsRoot>
  std::vector<node_id> suspectOrphans(steady_time Now, IsChild &&Child,
                                      IsRoot &&Root) {
    std::vector<node_id> Suspected;
    for (auto &[Node, Entry] : Entries) {
      const member_record &Record = Entry.Record;
      bool HasParent = Node == Self || isSuspectOrLeft(Record) ||
                       (Record.Parent.empty()   ? Root(Node)
                        : Record.Parent == Self ? Child(Node)
                                                : isAlive(Record.Parent));
      if (HasParent)
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

  /// Returns all records, including those of nodes that have left, ordered by
  /// node.
  std::vector<member_record> allRecords() const;

  /// Returns the serving and draining members, ordered by node, for routing.
  std::vector<member_record> routableMembers() const;

  /// Returns a 63-bit hash over the records of nodes that have not left.
  /// Equal tables have equal digests. Complexity: constant.
  std::uint64_t digest() const;

  /// Returns the 63-bit digests of the buckets.
  const bucket_digests &bucketDigests() const { return BucketDigests; }

  /// Calls \p Visit with each record, ordered by node.
  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Node, Entry] : Entries)
      Visit(Entry.Record);
  }

  /// Returns a number that increases whenever the result of `routableMembers`
  /// changes, except for sequences and parents, which routing does not use.
  std::uint64_t routingGeneration() const { return RoutingGeneration; }

  /// Returns the records without a parent, which are those of root relays,
  /// except for suspects and nodes that have left.
  std::vector<member_record> rootRelays() const;

  std::size_t size() const { return Entries.size(); }

  /// Returns the number of nodes that are neither suspect nor have left.
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
  /// Nodes that have left, in the order in which they left.
  std::deque<node_id> Tombstones;
  bucket_digests BucketDigests{};
  std::size_t LiveMembers = 0;
  std::uint64_t RoutingGeneration = 0;
};

} // namespace gentianlug::membership

#endif // GENTIANLUG_MEMBERSHIP_MEMBER_TABLE_H
