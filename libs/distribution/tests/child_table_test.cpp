#include "gentianlug/distribution/child_table.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace gentianlug;
using namespace gentianlug::distribution;
using namespace std::chrono_literals;
using verdict = attach_response::verdict;

TEST_GROUP(child_table) {
  manual_clock Clock;
  child_table Table{node_id("relay")};
  std::vector<node_id> Path{node_id("relay")};

  static peer_identity peer(int Number) {
    return {node_id("n" + std::to_string(Number)),
            zone_name("z"),
            1,
            {"127.0.0.1", std::uint16_t(9000 + Number)}};
  }

  attach_response attach(int Number) {
    return Table.attach(peer(Number), Path, Clock.steadyNow());
  }

  void fill() {
    for (int Number = 0; Number < int(MaxChildren); ++Number)
      CHECK(attach(Number).Verdict == verdict::Admitted);
  }

  bool poll(int Number) {
    sync_request Request;
    Request.From = peer(Number);
    return Table.onPoll(Request, Clock.steadyNow());
  }
};

// Guards against a relay that admits too many children, and against redirects
// that all lead to the same child.
TEST(child_table, FullRelayRedirectsToItsChildrenInTurn) {
  fill();
  Clock.advance(1s);
  std::set<std::uint16_t> Targets;
  for (int Round = 0; Round < int(MaxChildren); ++Round) {
    Clock.advance(100ms);
    attach_response Response = attach(100 + Round);
    CHECK(Response.Verdict == verdict::Redirected);
    Targets.insert(Response.RedirectTo.Port);
  }
  CHECK_EQUAL(MaxChildren, Targets.size());
  CHECK_EQUAL(MaxChildren, Table.size());
}

// Guards against a burst of attach requests that overloads the relay.
TEST(child_table, AttachRateIsLimitedAndExcessRequestsAreDelayed) {
  unsigned Served = 0;
  for (int Number = 0; Number < 500; ++Number) {
    attach_response Response = attach(Number);
    if (Response.Verdict != verdict::Refused)
      ++Served;
    else
      CHECK(Response.RetryAfter > 0ms);
  }
  CHECK_EQUAL(MaxAttachesPerSecond, Served);
  Clock.advance(1s);
  CHECK(attach(1000).Verdict != verdict::Refused);
}

// Guards against cycles of nodes that are disconnected from the root.
TEST(child_table, RefusesLoopsAndDetachedRelays) {
  Path = {node_id("n1"), node_id("relay")};
  CHECK(attach(1).Verdict == verdict::Refused);
  CHECK(attach(2).Verdict == verdict::Admitted);
  Path.clear();
  CHECK(attach(3).Verdict == verdict::Refused);
}

// Guards against a failed child that is not detected, and against removing a
// live child whose poll is still waiting for its response.
TEST(child_table, ChildThatMissesItsPollIsRemoved) {
  attach(1);
  attach(2);
  CHECK(poll(1));
  CHECK(poll(2));
  Clock.advance(1s);
  Table.onPollAnswered(peer(1).Node, Clock.steadyNow(), false);
  Clock.advance(1900ms);
  CHECK(Table.removeTimedOut(Clock.steadyNow()).empty());
  Clock.advance(100ms);
  CHECK(Table.removeTimedOut(Clock.steadyNow()) ==
        std::vector<node_id>{peer(1).Node});
  CHECK(Table.isLiveChild(peer(2).Node));
}

// Guards against node counts per version that omit a child or count it twice.
TEST(child_table, ReportsOfAllChildrenAreSummed) {
  attach(1);
  attach(2);
  sync_request Request;
  Request.From = peer(1);
  Request.Report = subtree_report{{{5, 3}}, {{node_id("x"), 6, "bad part"}}};
  for (int Round = 0; Round < 2; ++Round)
    Table.onPoll(Request, Clock.steadyNow());
  Request.From = peer(2);
  Request.Report = subtree_report{{{5, 1}, {4, 2}}, {}};
  Table.onPoll(Request, Clock.steadyNow());
  subtree_report Sum = Table.report();
  CHECK_EQUAL(4U, Sum.NodesByVersion[5]);
  CHECK_EQUAL(2U, Sum.NodesByVersion[4]);
  CHECK_EQUAL(1U, Sum.Refusals.size());
}
