#include "gentianlug/membership/member_table.h"

#include "gentianlug/core/random.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::membership;
using namespace std::chrono_literals;

TEST_GROUP(member_table) {
  manual_clock Clock;
  member_table Table{node_id("self")};

  static member_record record(const char *Node, std::uint64_t Sequence,
                              member_state State = member_state::Serving,
                              incarnation_number Incarnation = 1) {
    member_record Record;
    Record.Node = node_id(Node);
    Record.Incarnation = Incarnation;
    Record.Sequence = Sequence;
    Record.State = State;
    Record.Parent = node_id("self");
    return Record;
  }

  apply_outcome apply(const member_record &Record) {
    return Table.apply(Record, Clock.steadyNow());
  }

  member_state stateOf(const char *Node) {
    return Table.find(node_id(Node))->State;
  }
};

// Guards against outdated records that replace newer ones: out of order,
// duplicate, or of an earlier incarnation.
TEST(member_table, OutdatedAndDuplicateRecordsAreIgnored) {
  CHECK(apply(record("a", 5)) == apply_outcome::Changed);
  CHECK(apply(record("a", 5)) == apply_outcome::Ignored);
  CHECK(apply(record("a", 4, member_state::Left)) == apply_outcome::Ignored);
  CHECK(apply(record("a", 1, member_state::Serving, 2)) ==
        apply_outcome::Changed);
  CHECK(apply(record("a", 99, member_state::Left)) == apply_outcome::Ignored);
  CHECK(stateOf("a") == member_state::Serving);
}

// Guards against tables that differ permanently after receiving the same
// records in different orders.
TEST(member_table, OrderOfRecordsDoesNotMatter) {
  std::vector<member_record> Records;
  for (std::uint64_t Sequence = 1; Sequence < 6; ++Sequence)
    for (auto State : {member_state::Serving, member_state::Suspect})
      for (const char *Node : {"a", "b", "c"})
        Records.push_back(record(Node, Sequence, State, 1 + Sequence % 2));
  generator Gen(11);
  std::optional<std::uint64_t> Digest;
  for (int Round = 0; Round < 50; ++Round) {
    std::shuffle(Records.begin(), Records.end(), Gen);
    member_table Other(node_id("self"));
    for (const member_record &Record : Records)
      Other.apply(Record, Clock.steadyNow());
    if (!Digest)
      Digest = Other.digest();
    CHECK(*Digest == Other.digest());
    CHECK(Other.digest() != Table.digest());
  }
}

// Guards against a failed node that stays in the table, and against a live one
// that is removed although it refuted the suspicion.
TEST(member_table, SuspectIsRemovedUnlessItRefutes) {
  apply(record("dead", 1));
  apply(record("live", 1));
  CHECK(Table.markSuspect(node_id("dead"), Clock.steadyNow()));
  CHECK(Table.markSuspect(node_id("live"), Clock.steadyNow()));
  CHECK_FALSE(Table.markSuspect(node_id("live"), Clock.steadyNow()));
  Clock.advance(1s);
  CHECK(apply(record("live", 2)) == apply_outcome::Changed);
  CHECK(Table.expire(Clock.steadyNow()).empty());
  Clock.advance(2s);
  CHECK(Table.expire(Clock.steadyNow()) ==
        std::vector<node_id>{node_id("dead")});
  CHECK(stateOf("dead") == member_state::Left);
  CHECK(stateOf("live") == member_state::Serving);
}

// Guards against a live node that accepts its own removal, and against a
// restarted node that all nodes ignore because its clock was set back.
TEST(member_table, OwnRecordSupersedesClaimsOfOthers) {
  Table.setOwnRecord(record("self", 0), Clock.steadyNow());
  CHECK(apply(record("self", 7, member_state::Left)) == apply_outcome::Refuted);
  CHECK(Table.find(node_id("self"))
            ->supersedes(record("self", 7, member_state::Left)));
  CHECK(apply(record("self", 1, member_state::Serving, 50)) ==
        apply_outcome::Refuted);
  CHECK(Table.find(node_id("self"))->Incarnation > 50);
}

// Guards against late records that restore a removed node, and against
// tombstones that accumulate without bound.
TEST(member_table, TombstonesSuppressLateRecordsForABoundedTime) {
  apply(record("a", 3));
  apply(record("a", 3, member_state::Left));
  CHECK(apply(record("a", 3)) == apply_outcome::Ignored);
  Clock.advance(121s);
  Table.expire(Clock.steadyNow());
  CHECK(Table.find(node_id("a")) == nullptr);
  for (std::size_t Index = 0; Index < MaxTombstones + 100; ++Index)
    apply(record(("n" + std::to_string(Index)).c_str(), 1, member_state::Left));
  CHECK(Table.size() <= MaxTombstones);
}

// Guards against nodes that stay in the table permanently because the relay
// that would detect their failure failed with them.
TEST(member_table, NodesWithoutALiveParentAreSuspected) {
  member_record Child = record("child", 1);
  Child.Parent = node_id("parent");
  apply(record("parent", 1));
  apply(Child);
  auto Orphans = [&] {
    return Table.suspectOrphans(
        Clock.steadyNow(),
        [](const node_id &Node) { return Node.str() == "parent"; },
        [](const node_id &) { return false; });
  };
  CHECK(Orphans().empty());
  apply(record("parent", 1, member_state::Left));
  Clock.advance(7s);
  CHECK(Orphans().empty());
  Clock.advance(1s);
  CHECK(Orphans() == std::vector<node_id>{node_id("child")});
}
