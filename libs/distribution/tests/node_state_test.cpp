#include "gentianlug/distribution/node_state.h"

#include "config_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;
using membership::member_record;
using membership::member_state;

namespace {

struct fake_child_lookup final : child_lookup {
  std::set<node_id> Nodes;
  bool isLiveChild(const node_id &Node) const override {
    return Nodes.count(Node) > 0;
  }
};

} // namespace

TEST_GROUP(node_state) {
  manual_clock Clock;
  node_state State{node_id("self"), 1};
  fake_child_lookup Children;

  static member_record record(const char *Node, const char *Parent,
                              member_state State) {
    member_record Record;
    Record.Node = node_id(Node);
    Record.Parent = node_id(Parent);
    Record.Incarnation = 1;
    Record.Sequence = 1;
    Record.State = State;
    return Record;
  }

  update_outcome apply(const member_record &Record, update_source Source) {
    return State.applyMembers({Record}, Source, Clock.steadyNow());
  }
};

// Guards against live nodes that are removed when a partition heals, because
// the other side sends their tombstones.
TEST(node_state, ClaimsAboutLiveDescendantsAreRefuted) {
  State.setChildLookup(&Children);
  Children.Nodes = {node_id("inner")};
  apply(record("inner", "self", member_state::Serving), update_source::Subtree);
  apply(record("leaf", "inner", member_state::Serving), update_source::Subtree);
  update_outcome Outcome = apply(record("leaf", "inner", member_state::Left),
                                 update_source::Upstream);
  CHECK_EQUAL(1U, Outcome.RecordsForRoot.size());
  CHECK(State.members().find(node_id("leaf"))->State == member_state::Serving);
  CHECK_EQUAL(2U, State.members().find(node_id("leaf"))->Sequence);
  // The same claim from the subtree is accepted.
  apply(record("inner", "self", member_state::Suspect), update_source::Subtree);
  CHECK(State.members().find(node_id("inner"))->State == member_state::Suspect);
}

// Guards against records and suspicions that an inner node of the tree does not
// forward to the root.
TEST(node_state, SubtreeChangesAreForwardedToTheRoot) {
  member_record Leaf = record("leaf", "self", member_state::Serving);
  CHECK_EQUAL(1U, apply(Leaf, update_source::Subtree).RecordsForRoot.size());
  CHECK_EQUAL(0U, apply(Leaf, update_source::Subtree).RecordsForRoot.size());
  update_outcome Suspected = State.suspect(node_id("leaf"), Clock.steadyNow());
  CHECK(Suspected.RecordsForRoot.at(0).State == member_state::Suspect);
  member_record Far = record("far", "x", member_state::Serving);
  CHECK_EQUAL(0U, apply(Far, update_source::Upstream).RecordsForRoot.size());
}

// Guards against a version that is applied in part, and against an invalid
// version that prevents later ones from being applied.
TEST(node_state, InvalidVersionIsRefusedAndTheNextOneApplied) {
  state_update Update;
  config_history History;
  History.add(sampleImage(1));
  Update.Config = History.updateFor(0);
  CHECK(State.apply(Update, update_source::Upstream, Clock.steadyNow())
            .ConfigChanged);
  config_image Bad = sampleImage(2);
  Bad.RootHash = "another";
  History.add(Bad);
  Update.Config = History.updateFor(1);
  update_outcome Outcome =
      State.apply(Update, update_source::Upstream, Clock.steadyNow());
  CHECK_EQUAL(2U, Outcome.Refusal->Version);
  CHECK_EQUAL(1U, State.configVersion());
  CHECK_EQUAL(2U, State.refusedVersion());
  History.add(sampleImage(3));
  Update.Config = History.updateFor(1);
  State.apply(Update, update_source::Upstream, Clock.steadyNow());
  CHECK_EQUAL(3U, State.configVersion());
}

// Guards against a live value that is replaced by an older one from a relay
// that is behind.
TEST(node_state, OlderLiveValueFromAnotherRelayIsIgnored) {
  CHECK(State.applyLiveValues({{"live/zones", 9, "new"}},
                              update_source::Upstream));
  CHECK_FALSE(State.applyLiveValues({{"live/zones", 8, "old"}},
                                    update_source::Upstream));
  CHECK(State.applyLiveValues({{"live/zones", 10, std::nullopt}},
                              update_source::Upstream));
  CHECK_FALSE(State.applyLiveValues({{"live/zones", 9, "new"}},
                                    update_source::Upstream));
  CHECK_FALSE(State.liveValues().at("live/zones").Text.has_value());
}

// Guards against relays that send changes back to where they came from.
TEST(node_state, OnlySubtreeChangesAreSentToOtherRelays) {
  sync_request Request;
  Request.Role = sync_role::Relay;
  Request.Cursor = State.logHead();
  apply(record("far", "x", member_state::Serving), update_source::Upstream);
  CHECK_FALSE(State.hasUpdateFor(Request));
  apply(record("near", "self", member_state::Serving), update_source::Subtree);
  CHECK_EQUAL(1U, State.updateFor(Request).Members.size());
}
