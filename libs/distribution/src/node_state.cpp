#include "gentianlug/distribution/node_state.h"

#include "gentianlug/distribution/child_table.h"

#include <array>
#include <set>

namespace gentianlug::distribution {

using membership::apply_outcome;
using membership::member_record;

node_state::node_state(node_id Self, std::uint64_t Epoch,
                       membership::failure_detection_timeouts Times)
    : Self(Self), Members(std::move(Self), Times), Log(Epoch) {}

void node_state::logMemberChange(const node_id &Node, update_source Source) {
  Log.append({change_kind::Member, Node.str()},
             Source == update_source::Subtree);
}

bool node_state::isLiveDescendant(const node_id &Node) const {
  // A tree is at most a few levels deep; the bound terminates the search if
  // stale records form a cycle.
  const node_id *Ancestor = &Node;
  for (std::size_t Level = 0; Children && Level < MaxPathLength; ++Level) {
    const member_record *Record = Members.find(*Ancestor);
    if (!Record || Record->Parent.empty())
      return false;
    if (Record->Parent == Self)
      return Children->isLiveChild(*Ancestor);
    Ancestor = &Record->Parent;
  }
  return false;
}

bool node_state::refuteClaim(const member_record &Claim, steady_time Now) {
  const member_record *Held = Members.find(Claim.Node);
  bool ClaimsGone = Claim.State == membership::member_state::Suspect ||
                    Claim.State == membership::member_state::Left;
  if (!ClaimsGone || !Held || !Claim.supersedes(*Held) ||
      Claim.Incarnation != Held->Incarnation || !isLiveDescendant(Claim.Node))
    return false;
  member_record Refuted = *Held;
  Refuted.Sequence = Claim.Sequence + 1;
  Members.apply(Refuted, Now);
  logMemberChange(Claim.Node, update_source::Subtree);
  return true;
}

update_outcome
node_state::applyMembers(const std::vector<member_record> &Records,
                         update_source Source, steady_time Now) {
  update_outcome Outcome;
  for (const member_record &Record : Records) {
    if (Source == update_source::Upstream && refuteClaim(Record, Now)) {
      Outcome.MembersChanged = true;
      Outcome.RecordsForRoot.push_back(*Members.find(Record.Node));
      continue;
    }
    apply_outcome Applied = Members.apply(Record, Now);
    if (Applied == apply_outcome::Ignored)
      continue;
    Outcome.MembersChanged = true;
    if (Applied == apply_outcome::Refuted) {
      Outcome.RecordsForRoot.push_back(*Members.find(Self));
      logMemberChange(Record.Node, update_source::Subtree);
    } else {
      logMemberChange(Record.Node, Source);
      if (Source == update_source::Subtree)
        Outcome.RecordsForRoot.push_back(Record);
    }
  }
  return Outcome;
}

bool node_state::applyLiveValues(const std::vector<live_value> &Values,
                                 update_source Source) {
  bool Changed = false;
  for (const live_value &Value : Values) {
    auto Current = LiveValues.find(Value.Key);
    if (Current == LiveValues.end()
            ? LiveValues.size() >= MaxLiveValues
            : Current->second.Revision >= Value.Revision)
      continue;
    LiveValues[Value.Key] = Value;
    Log.append({change_kind::LiveValue, Value.Key},
               Source == update_source::Subtree);
    Changed = true;
  }
  return Changed;
}

update_outcome node_state::apply(const state_update &Update,
                                 update_source Source, steady_time Now) {
  update_outcome Outcome = applyMembers(Update.Members, Source, Now);
  Outcome.LiveValuesChanged = applyLiveValues(Update.LiveValues, Source);
  if (Update.Config)
    applyConfig(*Update.Config, Outcome);
  if (Update.IsSnapshot)
    addRecordsForRoot(Update, Outcome);
  return Outcome;
}

void node_state::applyConfig(const config_update &Update,
                             update_outcome &Outcome) {
  if (Update.Version <= configVersion())
    return;
  auto Image = History.build(Update);
  // A delta from a version that is no longer in force does not make the new
  // version invalid; the next poll reports the version in force and gets
  // another update.
  if (!Image && Update.BaseVersion != configVersion())
    return;
  auto Assembled = Image ? Assembler.assemble(Image->Parts, Image->RootHash)
                         : result<config::site_configuration>(Image.failure());
  if (!Assembled) {
    refuseVersion(Update.Version);
    Outcome.Refusal = {Self, Update.Version, Assembled.failure().message()};
    return;
  }
  auto Versioned = std::make_shared<config::versioned_configuration>();
  Versioned->Version = Update.Version;
  Versioned->RootHash = Update.RootHash;
  Versioned->Configuration = std::move(*Assembled);
  Outcome.ConfigChanged = activate(std::move(*Image), std::move(Versioned));
}

bool node_state::activate(
    config_image Image,
    std::shared_ptr<const config::versioned_configuration> Assembled) {
  if (Assembled->Version <= configVersion())
    return false;
  History.add(std::move(Image));
  ActiveConfiguration = std::move(Assembled);
  return true;
}

/// Returns, for each bucket, whether a snapshot covers it.
static std::array<bool, membership::DigestBucketCount>
snapshotBuckets(const state_update &Update) {
  std::array<bool, membership::DigestBucketCount> Covered{};
  Covered.fill(Update.SnapshotBuckets.empty());
  for (std::size_t Bucket : Update.SnapshotBuckets)
    if (Bucket < Covered.size())
      Covered[Bucket] = true;
  return Covered;
}

void node_state::addRecordsForRoot(const state_update &Update,
                                   update_outcome &Outcome) const {
  auto Covered = snapshotBuckets(Update);
  std::set<node_id> Sent;
  for (const member_record &Record : Update.Members) {
    const member_record *Held = Members.find(Record.Node);
    if (Held && !Held->supersedes(Record))
      Sent.insert(Record.Node);
  }
  Members.forEach([&](const member_record &Record) {
    if (Record.State != membership::member_state::Left &&
        Covered[membership::digestBucket(Record.Node)] &&
        !Sent.count(Record.Node))
      Outcome.RecordsForRoot.push_back(Record);
  });
}

void node_state::setOwnRecord(member_record Own, steady_time Now) {
  Members.setOwnRecord(std::move(Own), Now);
  logMemberChange(Self, update_source::Subtree);
}

update_outcome node_state::suspect(const node_id &Node, steady_time Now) {
  update_outcome Outcome;
  Outcome.MembersChanged = Members.markSuspect(Node, Now);
  if (!Outcome.MembersChanged)
    return Outcome;
  logMemberChange(Node, update_source::Subtree);
  Outcome.RecordsForRoot.push_back(*Members.find(Node));
  return Outcome;
}

bool node_state::expireSuspects(steady_time Now) {
  auto Removed = Members.expire(Now);
  // Every node removes expired suspects by itself, so the removal is not sent
  // to other root relays; those that missed the suspicion get it from the zone
  // of the node's parent.
  for (const node_id &Node : Removed)
    logMemberChange(Node, update_source::Upstream);
  return !Removed.empty();
}

void node_state::addSnapshot(const sync_request &Request,
                             state_update &Update) const {
  for (const auto &[Key, Value] : LiveValues)
    Update.LiveValues.push_back(Value);
  const membership::bucket_digests &Own = Members.bucketDigests();
  if (Request.BucketDigests.size() == Own.size()) {
    for (std::size_t Bucket = 0; Bucket < Own.size(); ++Bucket)
      if (Request.BucketDigests[Bucket] != Own[Bucket])
        Update.SnapshotBuckets.push_back(Bucket);
    // Equal tables need no records.
    if (Update.SnapshotBuckets.empty())
      return;
  }
  Update.IsSnapshot = true;
  auto Covered = snapshotBuckets(Update);
  Members.forEach([&](const member_record &Record) {
    if (Covered[membership::digestBucket(Record.Node)])
      Update.Members.push_back(Record);
  });
}

state_update node_state::updateFor(const sync_request &Request) const {
  state_update Update;
  Update.Cursor = Log.head();
  if (History.newestVersion() > Request.RefusedVersion)
    Update.Config = History.updateFor(Request.ConfigVersion);
  if (Request.Role == sync_role::Probe) {
    for (const auto &[Key, Value] : LiveValues)
      Update.LiveValues.push_back(Value);
    return Update;
  }
  auto Changes = Log.changesSince(Request.Cursor);
  if (!Changes) {
    addSnapshot(Request, Update);
    return Update;
  }
  for (const logged_change &Change : *Changes) {
    if (Request.Role == sync_role::Relay && !Change.FromSubtree)
      continue;
    if (Change.Key.Kind == change_kind::LiveValue)
      Update.LiveValues.push_back(LiveValues.at(Change.Key.Name));
    else if (const member_record *Record =
                 Members.find(node_id(Change.Key.Name)))
      Update.Members.push_back(*Record);
  }
  return Update;
}

bool node_state::hasUpdateFor(const sync_request &Request) const {
  if (configVersion() > std::max(Request.ConfigVersion, Request.RefusedVersion))
    return true;
  if (Request.Cursor == Log.head())
    return false;
  return !Log.changesSince(Request.Cursor) || !updateFor(Request).empty();
}

} // namespace gentianlug::distribution
