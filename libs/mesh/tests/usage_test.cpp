#include "gentianlug/mesh/stable_wall_clock.h"
#include "gentianlug/mesh/usage_counter.h"
#include "gentianlug/mesh/usage_duty.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

namespace {

const account_name A{"a"};
const account_name B{"b"};

} // namespace

TEST_GROUP(UsageCounter) {
  usage_terms Terms;
  const usage_window First = 1000;
  usage_counter Counter{node_id("n"), 7, Terms, at(1s)};

  /// Returns the time \p Offset after the begin of the first window.
  wall_time at(std::chrono::milliseconds Offset) const {
    return Terms.beginOf(1000) + Offset;
  }
  /// Returns the changed entry of \p Window.
  static const node_usage *find(const std::vector<node_usage> &Changes,
                                usage_window Window) {
    for (const node_usage &Usage : Changes)
      if (Usage.Window == Window)
        return &Usage;
    return nullptr;
  }
};

TEST(UsageCounter, CountsByWindowAndAccount) {
  Counter.onCallStarted(A, at(4999ms));
  Counter.onCallStarted(A, at(5000ms));
  Counter.onCallStarted(B, at(5000ms));
  auto Changes = Counter.takeChanges(at(5600ms));
  CHECK_EQUAL(2, Changes.size());
  CHECK(find(Changes, First)->Calls == (account_counts{{A, 1}}));
  CHECK(find(Changes, First)->IsFinal);
  CHECK(find(Changes, First + 1)->Calls == (account_counts{{A, 1}, {B, 1}}));
  CHECK_FALSE(find(Changes, First + 1)->IsFinal);
  CHECK(Counter.takeChanges(at(5600ms)).empty());
}

// Guards against accounts that are charged for calls that the server rejected.
TEST(UsageCounter, RejectedCallsAreTakenBack) {
  Counter.onCallStarted(A, at(4900ms));
  Counter.onCallNotRun(A, at(4900ms));
  Counter.onCallNotRun(B, at(4900ms));
  CHECK(find(Counter.takeChanges(at(5100ms)), First)->Calls.empty());
}

// Guards against a report that waits for windows in which nothing happened.
TEST(UsageCounter, WindowsWithoutCallsAreClosedToo) {
  auto Changes = Counter.takeChanges(at(16s));
  CHECK_EQUAL(4, Changes.size());
  CHECK(find(Changes, First + 2)->IsFinal);
}

// Guards against counts that grow without bound while no collector responds,
// and against a loop over all windows after a long suspension.
TEST(UsageCounter, KeepsABoundedNumberOfWindows) {
  auto Changes = Counter.takeChanges(at(std::chrono::hours(24)));
  CHECK_EQUAL(KeptUsageWindows, Changes.size());
}

// Guards against counts that pass for complete although an earlier process of
// the node has taken a part with it.
TEST(UsageCounter, OnlyTheFirstWindowAfterARestartIsUncertain) {
  Counter.setHasPredecessor();
  auto Changes = Counter.takeChanges(at(6s));
  CHECK(find(Changes, First)->MayLackCalls);
  CHECK_FALSE(find(Changes, First + 1)->MayLackCalls);
}

TEST_GROUP(StableWallClock) {
  stable_wall_clock Clock;
  steady_time Steady{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(1000)};
};

// Guards against calls that are counted in a wrong window while the clock of
// the machine is off for some seconds.
TEST(StableWallClock, IgnoresShortJumps) {
  CHECK(Clock.update(Steady, Wall) == Wall);
  CHECK(Clock.update(Steady + 10s, Wall + 12s) == Wall + 10s);
  CHECK(Clock.update(Steady + 20s, Wall + 20s) == Wall + 20s);
  CHECK(Clock.update(Steady + 75s, Wall + 70s) == Wall + 75s);
}

TEST(StableWallClock, FollowsCorrectionsAndLastingJumps) {
  Clock.update(Steady, Wall);
  CHECK(Clock.update(Steady + 1s, Wall + 1300ms) == Wall + 1300ms);
  CHECK(Clock.update(Steady + 2s, Wall + 9s) == Wall + 2300ms);
  CHECK(Clock.update(Steady + 62s, Wall + 69s) == Wall + 69s);
}

TEST_GROUP(UsageDuty) {
  usage_terms Terms;
  usage_collector Collector;
  std::set<node_id> Expected{node_id("n1"), node_id("n2"), node_id("n3")};
  usage_progress Progress{999, std::nullopt, true};

  wall_time at(std::chrono::milliseconds Offset) const {
    return Terms.beginOf(1000) + Offset;
  }
  static node_usage usage(const char *Node, std::uint64_t Count,
                          std::uint64_t Process = 1) {
    node_usage Usage;
    Usage.Node = node_id(Node);
    Usage.Process = Process;
    Usage.Window = 1000;
    Usage.Revision = 1;
    Usage.IsFinal = true;
    Usage.Calls = {{A, Count}};
    return Usage;
  }
  void add(const node_usage &Usage) { CHECK(Collector.add(Usage, 1001)); }
  usage_action next(std::chrono::milliseconds Offset) const {
    return nextUsageStep(Progress, Collector, Expected, Terms, at(Offset));
  }
};

TEST(UsageDuty, DecidesAWindowOnceAllNodesHaveClosedIt) {
  add(usage("n1", 1));
  add(usage("n2", 2));
  CHECK(next(5500ms).Step == usage_step::Wait);
  add(usage("n3", 4));
  CHECK(next(4999ms).Step == usage_step::Wait);
  usage_action Action = next(5500ms);
  CHECK(Action.Step == usage_step::Decide);
  CHECK(Action.Next == (usage_progress{1000, account_counts{{A, 7}}, false}));
}

// Guards against a report that is never sent because a node has died.
TEST(UsageDuty, WaitsForSilentNodesForHalfOfTheTime) {
  add(usage("n1", 1));
  add(usage("n2", 2));
  CHECK(next(9999ms).Step == usage_step::Wait);
  usage_action Action = next(10000ms);
  CHECK(Action.Step == usage_step::Decide);
  CHECK(Action.Next.Calls == (account_counts{{A, 3}}));
  CHECK_EQUAL(1, Action.UncertainNodes);
}

// Guards against a new holder that leaves out a window before the other nodes
// have sent it their counts.
TEST(UsageDuty, NewHolderWaitsForTheCountsOfOthers) {
  add(usage("n1", 1));
  auto NextOfNewHolder = [&] {
    return nextUsageStep(Progress, Collector, Expected, Terms, at(11s), true);
  };
  CHECK(NextOfNewHolder().Step == usage_step::Wait);
  add(usage("n2", 2));
  add(usage("n3", 4));
  CHECK(NextOfNewHolder().Next.Calls == (account_counts{{A, 7}}));
}

// Guards against a successor that counts a window anew: the stored counts are
// sent, whatever has arrived since.
TEST(UsageDuty, SuccessorRepeatsTheStoredReport) {
  Progress = {1000, account_counts{{A, 3}}, false};
  add(usage("n1", 1));
  add(usage("n2", 2));
  add(usage("n3", 4));
  usage_action Action = next(20s);
  CHECK(Action.Step == usage_step::Report);
  CHECK(Action.Next == Progress);
}

// Guards against reports of a window whose counts were lost with all nodes.
TEST(UsageDuty, LeavesOutAWindowThatMostNodesDoNotKnow) {
  node_usage Restarted = usage("n1", 1);
  Restarted.MayLackCalls = true;
  add(Restarted);
  usage_action Action = next(11s);
  CHECK(Action.Step == usage_step::Decide);
  CHECK(Action.Next == (usage_progress{1000, std::nullopt, true}));
  CHECK_EQUAL(1, Action.SkippedWindows);
}

TEST(UsageDuty, LeavesOutWindowsThatAreNoLongerKept) {
  Progress = {990, account_counts{{A, 3}}, false};
  usage_action Action = next(0ms);
  CHECK(Action.Step == usage_step::Decide);
  CHECK_EQUAL(1000 - KeptUsageWindows, Action.Next.DecidedWindow);
  CHECK_EQUAL(2, Action.SkippedWindows);
}

// Guards against calls that are never reported because they began before there
// was a holder.
TEST(UsageDuty, FirstHolderStartsWithTheOldestCounts) {
  Progress = {};
  add(usage("n1", 1));
  CHECK_EQUAL(999, next(3s).Next.DecidedWindow);
  CHECK_EQUAL(999, next(12s).Next.DecidedWindow);
}

TEST(UsageDuty, FirstHolderWithoutCountsStartsWithTheCurrentWindow) {
  Progress = {};
  usage_action Action = next(0ms);
  CHECK(Action.Step == usage_step::Decide);
  CHECK(Action.Next == (usage_progress{999, std::nullopt, true}));
}

// Guards against counts that are added twice because a message is repeated, or
// arrives over two relays.
TEST(UsageDuty, RepeatedAndOldMessagesChangeNothing) {
  node_usage Later = usage("n1", 5);
  Later.Revision = 2;
  add(Later);
  add(usage("n1", 3));
  add(Later);
  CHECK(Collector.total(1000, Expected).Calls == (account_counts{{A, 5}}));
}

// Guards against calls that get lost with a process that was killed after it
// had reported them.
TEST(UsageDuty, ProcessesOfANodeAddUp) {
  node_usage Killed = usage("n1", 3, 1);
  Killed.IsFinal = false;
  node_usage Next = usage("n1", 4, 2);
  Next.MayLackCalls = true;
  add(Killed);
  add(Next);
  usage_total Total = Collector.total(1000, Expected);
  CHECK(Total.Calls == (account_counts{{A, 7}}));
  CHECK_EQUAL(2, Total.MissingNodes);
  CHECK_EQUAL(3, Total.UncertainNodes);
}

// Guards against a node that fills the memory of a collector with windows of
// the future, or drives out the current ones.
TEST(UsageDuty, WindowsFarFromTheCurrentOneAreIgnored) {
  add(usage("n1", 1));
  node_usage Future = usage("n2", 1);
  Future.Window = 5000;
  add(Future);
  node_usage Past = usage("n2", 1);
  Past.Window = 1;
  add(Past);
  CHECK_EQUAL(1, Collector.unacknowledged(10000).size());
}

// Guards against counts that a new holder never gets because its predecessor
// has acknowledged them.
TEST(UsageDuty, AnotherCollectorGetsEverythingAgain) {
  add(usage("n1", 1));
  CHECK(Collector.unacknowledged(999).empty());
  auto Entries = Collector.unacknowledged(1000);
  Collector.acknowledge(Entries);
  CHECK(Collector.unacknowledged(1000).empty());
  node_usage Changed = usage("n1", 2);
  Changed.Revision = 2;
  add(Changed);
  // The acknowledgement of an earlier revision arrives late.
  Collector.acknowledge(Entries);
  CHECK_EQUAL(1, Collector.unacknowledged(1000).size());
  Collector.acknowledge(Collector.unacknowledged(1000));
  Collector.resetAcknowledged();
  CHECK_EQUAL(1, Collector.unacknowledged(1000).size());
}
