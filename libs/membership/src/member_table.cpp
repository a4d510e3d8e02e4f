#include "gentianlug/membership/member_table.h"

#include "gentianlug/core/hash.h"

namespace gentianlug::membership {

/// Digests are sent as JSON numbers, which many implementations limit to 63
/// bits.
static constexpr std::uint64_t Mask63 = INT64_MAX;

std::size_t digestBucket(const node_id &Node) {
  return hash64(Node.str()) % DigestBucketCount;
}

/// Returns the contribution of one record to the digest of its table.
static std::uint64_t recordHash(const member_record &Record) {
  if (Record.State == member_state::Left)
    return 0;
  return Mask63 &
         hash64(Record.Node.str() + " " + std::to_string(Record.Incarnation) +
                " " + std::to_string(Record.Sequence) + " " +
                std::to_string(int(Record.State)));
}

static bool isRoutable(const member_record &Record) {
  return Record.State == member_state::Serving ||
         Record.State == member_state::Draining;
}

static bool differInRouting(const member_record &Old,
                            const member_record &New) {
  if (!isRoutable(Old) && !isRoutable(New))
    return false;
  member_record Normalized = New;
  Normalized.Sequence = Old.Sequence;
  Normalized.Parent = Old.Parent;
  return !(Normalized == Old);
}

member_table::member_table(node_id Self, failure_detection_timeouts Timeouts)
    : Self(std::move(Self)), Timeouts(Timeouts) {}

bool member_table::isAlive(const node_id &Node) const {
  auto Entry = Entries.find(Node);
  return Entry != Entries.end() && !isSuspectOrLeft(Entry->second.Record);
}

void member_table::store(const member_record &Record, steady_time Now) {
  entry &Entry = Entries[Record.Node];
  bool WasLeft = Entry.Record.State == member_state::Left;
  std::uint64_t &Digest = BucketDigests[digestBucket(Record.Node)];
  if (!Entry.Record.Node.empty())
    Digest ^= recordHash(Entry.Record);
  Digest ^= recordHash(Record);
  if (differInRouting(Entry.Record, Record))
    ++RoutingGeneration;
  if (!Entry.Record.Node.empty() && !isSuspectOrLeft(Entry.Record))
    --LiveMembers;
  if (!isSuspectOrLeft(Record))
    ++LiveMembers;
  Entry.Record = Record;
  Entry.ChangedAt = Now;
  Entry.ParentSeenAt = Now;
  if (Record.State == member_state::Suspect)
    Suspects.insert(Record.Node);
  else
    Suspects.erase(Record.Node);
  if (Record.State == member_state::Left && !WasLeft)
    Tombstones.push_back(Record.Node);
  dropTombstones(Now);
}

apply_outcome member_table::apply(const member_record &Record,
                                  steady_time Now) {
  if (Record.Node == Self)
    return refute(Record, Now);
  auto Known = Entries.find(Record.Node);
  if (Known == Entries.end() && Entries.size() >= MaxMembers)
    return apply_outcome::Ignored;
  if (Known != Entries.end() && !Record.supersedes(Known->second.Record))
    return apply_outcome::Ignored;
  store(Record, Now);
  return apply_outcome::Changed;
}

apply_outcome member_table::refute(const member_record &Claim,
                                   steady_time Now) {
  auto Own = Entries.find(Self);
  if (Own == Entries.end() || !Claim.supersedes(Own->second.Record))
    return apply_outcome::Ignored;
  member_record Next = Own->second.Record;
  if (Claim.Incarnation > Next.Incarnation)
    Next.Incarnation = Claim.Incarnation + 1;
  else
    Next.Sequence = Claim.Sequence + 1;
  store(Next, Now);
  return apply_outcome::Refuted;
}

const member_record &member_table::setOwnRecord(member_record Own,
                                                steady_time Now) {
  Own.Node = Self;
  auto Known = Entries.find(Self);
  if (Known != Entries.end()) {
    Own.Incarnation =
        std::max(Own.Incarnation, Known->second.Record.Incarnation);
    Own.Sequence = Known->second.Record.Sequence + 1;
  }
  store(Own, Now);
  return Entries.at(Self).Record;
}

bool member_table::markSuspect(const node_id &Node, steady_time Now) {
  auto Entry = Entries.find(Node);
  if (Node == Self || Entry == Entries.end() ||
      isSuspectOrLeft(Entry->second.Record))
    return false;
  member_record Record = Entry->second.Record;
  Record.State = member_state::Suspect;
  store(Record, Now);
  return true;
}

std::vector<node_id> member_table::expire(steady_time Now) {
  std::vector<node_id> Removed;
  for (const node_id &Node : Suspects)
    if (Now - Entries.at(Node).ChangedAt >= Timeouts.SuspicionTimeout)
      Removed.push_back(Node);
  for (const node_id &Node : Removed) {
    member_record Record = Entries.at(Node).Record;
    Record.State = member_state::Left;
    store(Record, Now);
  }
  dropTombstones(Now);
  return Removed;
}

void member_table::dropTombstones(steady_time Now) {
  while (!Tombstones.empty()) {
    auto Oldest = Entries.find(Tombstones.front());
    bool Obsolete = Oldest == Entries.end() ||
                    Oldest->second.Record.State != member_state::Left;
    bool Expired = !Obsolete && Now - Oldest->second.ChangedAt >=
                                    Timeouts.TombstoneRetention;
    if (!Obsolete && !Expired && Tombstones.size() <= MaxTombstones)
      return;
    if (!Obsolete)
      Entries.erase(Oldest);
    Tombstones.pop_front();
  }
}

std::uint64_t member_table::digest() const {
  std::uint64_t Combined = 0;
  for (std::uint64_t Digest : BucketDigests)
    Combined ^= Digest;
  return Combined;
}

const member_record *member_table::find(const node_id &Node) const {
  auto Entry = Entries.find(Node);
  return Entry == Entries.end() ? nullptr : &Entry->second.Record;
}

std::vector<member_record> member_table::allRecords() const {
  std::vector<member_record> Records;
  Records.reserve(Entries.size());
  for (const auto &[Node, Entry] : Entries)
    Records.push_back(Entry.Record);
  return Records;
}

std::vector<member_record> member_table::routableMembers() const {
  std::vector<member_record> Records;
  for (const auto &[Node, Entry] : Entries)
    if (isRoutable(Entry.Record))
      Records.push_back(Entry.Record);
  return Records;
}

std::vector<member_record> member_table::rootRelays() const {
  std::vector<member_record> Records;
  for (const auto &[Node, Entry] : Entries)
    if (Entry.Record.Parent.empty() && !isSuspectOrLeft(Entry.Record))
      Records.push_back(Entry.Record);
  return Records;
}

} // namespace gentianlug::membership
