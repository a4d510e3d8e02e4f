#include "gentianlug/mesh/server_admission.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(ServingGate) {
  server_admission Gate;
  steady_time Now{1h};
  local_call_id LastTicket = 0;

  void setup() override {
    mesh_bounds Bounds;
    Gate.retryBudget().configure(Bounds, 1);
    open(2, 10);
  }
  void open(std::uint32_t Slots, double ColdCalls) {
    Gate.setServer(admitted_server{"i-1", Slots, ColdCalls});
    Gate.setConfirmed(true);
  }
  incoming_call call(std::uint32_t Rank = 1) {
    incoming_call Call;
    Call.Id = ++LastTicket;
    Call.Instance = "i-1";
    Call.QueuePriority = Rank;
    Call.Deadline = Now + 1s;
    Call.MaxQueueTime = 100ms;
    return Call;
  }
  local_call_id offer(const incoming_call &Call) {
    Gate.submit(Call, Now);
    return Call.Id;
  }
  /// Runs the gate and describes its actions: "+1 -2:busy".
  std::string advance() {
    std::string Text;
    for (const admission_decision &Action : Gate.advance(Now)) {
      bool Start = Action.Kind == admission_decision::kind::Start;
      Text += (Text.empty() ? "" : " ");
      Text += (Start ? "+" : "-") + std::to_string(Action.Id);
      if (!Start)
        Text += std::string(":") + describe(Action.Reason);
    }
    return Text;
  }
};

TEST(ServingGate, StartsUpToTheSlotsThenQueues) {
  for (int Count = 0; Count < 3; ++Count)
    offer(call());
  STRCMP_EQUAL("+1 +2", advance().c_str());
  Gate.finish(1, 10ms);
  STRCMP_EQUAL("+3", advance().c_str());
}

// Guards against calls that wait until nobody wants their answer any more.
TEST(ServingGate, RefusesCallsThatWaitTooLong) {
  for (int Count = 0; Count < 3; ++Count)
    offer(call());
  advance();
  CHECK(Gate.nextWakeup(Now) == Now + 100ms);
  Now += 100ms;
  STRCMP_EQUAL("-3:busy", advance().c_str());
}

// Guards against nested calls that wait behind new work: their parents have
// already been paid for.
TEST(ServingGate, LowRanksGoFirst) {
  offer(call());
  offer(call());
  advance();
  offer(call(2));
  offer(call(0));
  Gate.finish(1, 10ms);
  STRCMP_EQUAL("+4", advance().c_str());
}

TEST(ServingGate, FullQueueRefusesTheLastRank) {
  std::string Text;
  for (int Count = 0; Count < 7; ++Count)
    offer(call(Count == 2 ? 5 : 1));
  STRCMP_EQUAL("+1 +2 -3:busy", advance().c_str());
}

// Guards against a cold server that gets more calls in a second than it bears,
// counted over any second.
TEST(ServingGate, ColdServerGetsItsAllowanceInAnySecond) {
  open(100, 10);
  Gate.setColdStartEnd(Now + 10s);
  std::vector<steady_time> Starts;
  for (int Step = 0; Step < 3000; ++Step) {
    auto Ticket = offer(call());
    if (advance() == "+" + std::to_string(Ticket))
      Starts.push_back(Now);
    Gate.finish(Ticket, 1ms);
    Now += 1ms;
  }
  CHECK(Starts.size() >= 28);
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    std::size_t Count = 0;
    for (std::size_t Each = First; Each < Starts.size(); ++Each)
      Count += Starts[Each] - Starts[First] <= 1s ? 1 : 0;
    CHECK(Count <= 10);
  }
}

TEST(ServingGate, ClosedGateRefusesTruthfully) {
  offer(call());
  offer(call());
  offer(call());
  advance();
  Gate.setBlockReason(rejection_reason::Draining);
  STRCMP_EQUAL("-3:draining", advance().c_str());
  offer(call());
  STRCMP_EQUAL("-4:draining", advance().c_str());
  UNSIGNED_LONGS_EQUAL(0, Gate.report(Now).ConcurrencyLimit);
}

// Guards against calls that reach a server which took over the address.
TEST(ServingGate, CallsForAnotherInstanceAreRefused) {
  auto Call = call();
  Call.Instance = "i-0";
  offer(Call);
  STRCMP_EQUAL("-1:no-server", advance().c_str());
  Gate.setServer(admitted_server{"i-2", 2, 10});
  offer(call());
  STRCMP_EQUAL("-2:no-server", advance().c_str());
}

TEST(ServingGate, NewServerWaitsForConfirmation) {
  Gate.setServer(admitted_server{"i-2", 2, 10});
  auto Call = call();
  Call.Instance = "i-2";
  offer(Call);
  STRCMP_EQUAL("-1:unconfirmed", advance().c_str());
}

// Guards against repeats beyond the part of the service that is held here.
TEST(ServingGate, RepeatsAreBounded) {
  open(1000, 10);
  mesh_bounds Bounds;
  Bounds.RetryBudgetRatio = 0.2;
  Bounds.RetryBudgetSlack = 10;
  Gate.retryBudget().configure(Bounds, 1);
  int Repeats = 0;
  for (int Count = 0; Count < 100; ++Count) {
    offer(call());
    auto Repeat = call();
    Repeat.IsRetry = true;
    offer(Repeat);
    if (advance().find("repeats-spent") == std::string::npos)
      ++Repeats;
  }
  CHECK(Repeats > 10);
  CHECK(Repeats <= 0.2 * 100 + 10);
}

// Guards against calls of repeated runs that are not counted as repeats.
TEST(ServingGate, InheritedRepeatsUseUpTheBudget) {
  open(1000, 10);
  mesh_bounds Bounds;
  Bounds.RetryBudgetSlack = 10;
  Gate.retryBudget().configure(Bounds, 1);
  for (int Count = 0; Count < 10; ++Count) {
    auto Nested = call();
    Nested.InheritedRetry = true;
    offer(Nested);
  }
  advance();
  DOUBLES_EQUAL(1, Gate.retryShare(), 0.001);
  auto Repeat = call();
  Repeat.IsRetry = true;
  offer(Repeat);
  STRCMP_EQUAL("-11:repeats-spent", advance().c_str());
}

// Guards against downloads that fill a narrow link, behind which small answers
// wait.
TEST(ServingGate, LargeAnswersAreBoundedByTheLink) {
  open(100, 10);
  Gate.setLinkBytesPerSecond(1e6);
  auto Large = call();
  Large.ExpectedResponseBytes = 90000;
  offer(Large);
  STRCMP_EQUAL("+1", advance().c_str());
  Large.Id = ++LastTicket;
  offer(Large);
  STRCMP_EQUAL("-2:link-busy", advance().c_str());
  offer(call());
  STRCMP_EQUAL("+3", advance().c_str());
  Gate.finish(1, 10ms);
  Gate.setUnsentBytes(90000);
  Large.Id = ++LastTicket;
  offer(Large);
  STRCMP_EQUAL("-4:link-busy", advance().c_str());
  Gate.setUnsentBytes(0);
  Large.Id = ++LastTicket;
  offer(Large);
  STRCMP_EQUAL("+5", advance().c_str());
}

// Guards against a link that rests while the server works: one large answer at
// a time is far less than the link carries.
TEST(ServingGate, LinkIsFilledForTheTimeThatTheServerWorks) {
  open(100, 10);
  Gate.setLinkBytesPerSecond(1e6);
  offer(call());
  STRCMP_EQUAL("+1", advance().c_str());
  Gate.finish(1, 180ms);
  auto Large = call();
  Large.ExpectedResponseBytes = 90000;
  for (const char *Expected : {"+3", "+4", "+5", "-6:link-busy"}) {
    Large.Id = ++LastTicket;
    offer(Large);
    STRCMP_EQUAL(Expected, advance().c_str());
  }
}

// Guards against a server that looks like the fastest one since it has not
// answered yet.
TEST(ServingGate, ReportsNoServiceTimeBeforeTheFirstAnswer) {
  open(100, 10);
  LONGS_EQUAL(0, Gate.report(Now).ServiceTime.count());
  offer(call());
  (void)advance();
  Gate.finish(1, 180ms);
  LONGS_EQUAL(180, Gate.report(Now).ServiceTime.count());
}

TEST(ServingGate, CallsWithoutTimeAreRefused) {
  auto Call = call();
  Call.Deadline = Now + 1ms;
  offer(Call);
  STRCMP_EQUAL("-1:late", advance().c_str());
}
