#include "gentianlug/distribution/node_state.h"

#include "config_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;
using membership::member_record;
using membership::member_state;

namespace {

struct live_children final : child_watch {
  std::set<node_id> Nodes;
  bool isLiveChild(const node_id &Node) const override {
    return Nodes.count(Node) > 0;
  }
};

} // namespace

TEST_GROUP(node_state) {
  manual_clock Clock;
  node_state State{node_id("self"), 1};
  live_children Children;

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

// Guards against a healed partition that removes live nodes: the other side
// brings their tombstones.
TEST(node_state, ClaimsAboutLiveNodesBelowAreRefuted) {
  State.watchChildren(&Children);
  Children.Nodes = {node_id("inner")};
  apply(record("inner", "self", member_state::Serving), update_source::Below);
  apply(record("leaf", "inner", member_state::Serving), update_source::Below);
  update_outcome Outcome =
      apply(record("leaf", "inner", member_state::Left), update_source::Above);
  CHECK_EQUAL(1U, Outcome.Missing.size());
  CHECK(State.members().find(node_id("leaf"))->State == member_state::Serving);
  CHECK_EQUAL(2U, State.members().find(node_id("leaf"))->Sequence);
  // The relay beside the node knows better.
  apply(record("inner", "self", member_state::Suspect), update_source::Below);
  CHECK(State.members().find(node_id("inner"))->State == member_state::Suspect);
}

// Guards against a version that is taken in part, and against one bad version
// that keeps later ones out.
TEST(node_state, BadVersionIsRefusedWholeAndTheNextOneTaken) {
  state_update Update;
  config_history History;
  History.add(sampleImage(1));
  Update.Config = History.updateFor(0);
  CHECK(State.apply(Update, update_source::Above, Clock.steadyNow())
            .ConfigChanged);
  config_image Bad = sampleImage(2);
  Bad.RootHash = "another";
  History.add(Bad);
  Update.Config = History.updateFor(1);
  update_outcome Outcome =
      State.apply(Update, update_source::Above, Clock.steadyNow());
  CHECK_EQUAL(2U, Outcome.Refusal->Version);
  CHECK_EQUAL(1U, State.version());
  CHECK_EQUAL(2U, State.refusedVersion());
  History.add(sampleImage(3));
  Update.Config = History.updateFor(1);
  State.apply(Update, update_source::Above, Clock.steadyNow());
  CHECK_EQUAL(3U, State.version());
}

// Guards against two relays that disagree: the older answer must not undo the
// newer one.
TEST(node_state, OlderLiveValueOfAnotherRelayIsIgnored) {
  CHECK(State.applyLive({{"live/zones", 9, "new"}}, update_source::Above));
  CHECK_FALSE(
      State.applyLive({{"live/zones", 8, "old"}}, update_source::Above));
  CHECK(State.applyLive({{"live/zones", 10, std::nullopt}},
                        update_source::Above));
  CHECK_FALSE(
      State.applyLive({{"live/zones", 9, "new"}}, update_source::Above));
  CHECK_FALSE(State.live().at("live/zones").Text.has_value());
}

// Guards against relays that send one another what they told them.
TEST(node_state, OnlyChangesFromBelowAreNewsForOtherRelays) {
  sync_request Request;
  Request.Role = sync_role::Relay;
  Request.Cursor = State.head();
  apply(record("far", "x", member_state::Serving), update_source::Above);
  CHECK_FALSE(State.hasNewsFor(Request));
  apply(record("near", "self", member_state::Serving), update_source::Below);
  CHECK_EQUAL(1U, State.updateFor(Request).Members.size());
}
