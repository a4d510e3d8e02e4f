#include "gentianlug/distribution/node_state.h"

#include "gentianlug/distribution/child_table.h"

#include <array>
#include <set>

namespace gentianlug::distribution {

using membership::apply_outcome;
using membership::member_record;

node_state::node_state(node_id Self, std::uint64_t Epoch,
                       membership::member_times Times)
    : Self(Self), Members(std::move(Self), Times), Log(Epoch) {}

void node_state::logMember(const node_id &Node, update_source Source) {
  Log.append({change_kind::Member, Node.str()}, Source == update_source::Below);
}

bool node_state::isLiveBelow(const node_id &Node) const {
  // A tree is at most a few levels deep; the bound ends a loop of stale
  // records.
  const node_id *Step = &Node;
  for (std::size_t Level = 0; Children && Level < MaxPathLength; ++Level) {
    const member_record *Record = Members.find(*Step);
    if (!Record || Record->Parent.empty())
      return false;
    if (Record->Parent == Self)
      return Children->isLiveChild(*Step);
    Step = &Record->Parent;
  }
  return false;
}

bool node_state::vouch(const member_record &Claim, steady_time Now) {
  const member_record *Held = Members.find(Claim.Node);
  bool Gone = Claim.State == membership::member_state::Suspect ||
              Claim.State == membership::member_state::Left;
  if (!Gone || !Held || !Claim.supersedes(*Held) ||
      Claim.Incarnation != Held->Incarnation || !isLiveBelow(Claim.Node))
    return false;
  member_record Refuted = *Held;
  Refuted.Sequence = Claim.Sequence + 1;
  Members.apply(Refuted, Now);
  logMember(Claim.Node, update_source::Below);
  return true;
}

update_outcome
node_state::applyMembers(const std::vector<member_record> &Records,
                         update_source Source, steady_time Now) {
  update_outcome Outcome;
  for (const member_record &Record : Records) {
    if (Source == update_source::Above && vouch(Record, Now)) {
      Outcome.MembersChanged = true;
      Outcome.Missing.push_back(*Members.find(Record.Node));
      continue;
    }
    apply_outcome Applied = Members.apply(Record, Now);
    if (Applied == apply_outcome::Ignored)
      continue;
    Outcome.MembersChanged = true;
    if (Applied == apply_outcome::Refuted) {
      Outcome.Missing.push_back(*Members.find(Self));
      logMember(Record.Node, update_source::Below);
    } else {
      logMember(Record.Node, Source);
    }
  }
  return Outcome;
}

bool node_state::applyLive(const std::vector<live_value> &Values,
                           update_source Source) {
  bool Changed = false;
  for (const live_value &Value : Values) {
    auto Known = Live.find(Value.Key);
    if (Known == Live.end() ? Live.size() >= MaxLiveValues
                            : Known->second.Revision >= Value.Revision)
      continue;
    Live[Value.Key] = Value;
    Log.append({change_kind::Live, Value.Key}, Source == update_source::Below);
    Changed = true;
  }
  return Changed;
}

update_outcome node_state::apply(const state_update &Update,
                                 update_source Source, steady_time Now) {
  update_outcome Outcome = applyMembers(Update.Members, Source, Now);
  Outcome.LiveChanged = applyLive(Update.Live, Source);
  if (Update.Config)
    applyConfig(*Update.Config, Outcome);
  if (Update.Snapshot)
    addMissing(Update, Outcome);
  return Outcome;
}

void node_state::applyConfig(const config_update &Update,
                             update_outcome &Outcome) {
  if (Update.Version <= version())
    return;
  auto Image = History.build(Update);
  // A delta from a version that is gone by now is not a fault of the version;
  // the next poll states the version held and gets another update.
  if (!Image && Update.Base != version())
    return;
  auto Assembled = Image ? Assembler.assemble(Image->Parts, Image->RootHash)
                         : result<config::site_configuration>(Image.failure());
  if (!Assembled) {
    refuse(Update.Version);
    Outcome.Refusal = {Self, Update.Version, Assembled.failure().message()};
    return;
  }
  auto Versioned = std::make_shared<config::versioned_configuration>();
  Versioned->Version = Update.Version;
  Versioned->RootHash = Update.RootHash;
  Versioned->Configuration = std::move(*Assembled);
  Outcome.ConfigChanged = putInForce(std::move(*Image), std::move(Versioned));
}

bool node_state::putInForce(
    config_image Image,
    std::shared_ptr<const config::versioned_configuration> Assembled) {
  if (Assembled->Version <= version())
    return false;
  History.add(std::move(Image));
  InForce = std::move(Assembled);
  return true;
}

/// Returns which buckets a snapshot covers.
static std::array<bool, membership::DigestBuckets>
coveredBuckets(const state_update &Update) {
  std::array<bool, membership::DigestBuckets> Covered{};
  Covered.fill(Update.Buckets.empty());
  for (std::size_t Bucket : Update.Buckets)
    if (Bucket < Covered.size())
      Covered[Bucket] = true;
  return Covered;
}

void node_state::addMissing(const state_update &Update,
                            update_outcome &Outcome) const {
  auto Covered = coveredBuckets(Update);
  std::set<node_id> Sent;
  for (const member_record &Record : Update.Members) {
    const member_record *Held = Members.find(Record.Node);
    if (Held && !Held->supersedes(Record))
      Sent.insert(Record.Node);
  }
  Members.forEach([&](const member_record &Record) {
    if (Record.State != membership::member_state::Left &&
        Covered[membership::bucketOf(Record.Node)] && !Sent.count(Record.Node))
      Outcome.Missing.push_back(Record);
  });
}

void node_state::setOwn(member_record Own, steady_time Now) {
  Members.setOwn(std::move(Own), Now);
  logMember(Self, update_source::Below);
}

bool node_state::suspect(const node_id &Node, steady_time Now) {
  if (!Members.suspect(Node, Now))
    return false;
  logMember(Node, update_source::Below);
  return true;
}

bool node_state::expire(steady_time Now) {
  auto Removed = Members.expire(Now);
  // Every node removes a suspect by itself; only its parent's zone tells the
  // other root relays when they miss it.
  for (const node_id &Node : Removed)
    logMember(Node, update_source::Above);
  return !Removed.empty();
}

void node_state::addSnapshot(const sync_request &Request,
                             state_update &Update) const {
  for (const auto &[Key, Value] : Live)
    Update.Live.push_back(Value);
  const membership::bucket_digests &Own = Members.buckets();
  if (Request.Buckets.size() == Own.size()) {
    for (std::size_t Bucket = 0; Bucket < Own.size(); ++Bucket)
      if (Request.Buckets[Bucket] != Own[Bucket])
        Update.Buckets.push_back(Bucket);
    // Equal tables need no records.
    if (Update.Buckets.empty())
      return;
  }
  Update.Snapshot = true;
  auto Covered = coveredBuckets(Update);
  Members.forEach([&](const member_record &Record) {
    if (Covered[membership::bucketOf(Record.Node)])
      Update.Members.push_back(Record);
  });
}

state_update node_state::updateFor(const sync_request &Request) const {
  state_update Update;
  Update.Cursor = Log.head();
  if (History.newest() > Request.Refused)
    Update.Config = History.updateFor(Request.Version);
  if (Request.Role == sync_role::Probe) {
    for (const auto &[Key, Value] : Live)
      Update.Live.push_back(Value);
    return Update;
  }
  auto News = Log.since(Request.Cursor);
  if (!News) {
    addSnapshot(Request, Update);
    return Update;
  }
  for (const logged_change &Change : *News) {
    if (Request.Role == sync_role::Relay && !Change.FromBelow)
      continue;
    if (Change.Key.Kind == change_kind::Live)
      Update.Live.push_back(Live.at(Change.Key.Name));
    else if (const member_record *Record =
                 Members.find(node_id(Change.Key.Name)))
      Update.Members.push_back(*Record);
  }
  return Update;
}

bool node_state::hasNewsFor(const sync_request &Request) const {
  if (version() > std::max(Request.Version, Request.Refused))
    return true;
  if (Request.Cursor == Log.head())
    return false;
  return !Log.since(Request.Cursor) || !updateFor(Request).empty();
}

} // namespace gentianlug::distribution
