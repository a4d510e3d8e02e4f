#include "gentianlug/admission/admission_control.h"
#include "gentianlug/admission/gradient_limit.h"

#include <set>

// After the standard headers, since it redefines new.
#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using std::chrono::milliseconds;

TEST_GROUP(admission_control) {
  manual_clock Clock;
  admission_control Admission{std::make_unique<gradient_limit>()};
  call_ticket Next = 1;
  std::set<call_ticket> Running;
  int Refusals = 0;

  void setup() override {
    Admission.updateCapacity({10, 20, 100}, Clock.steadyNow());
  }

  void offer(milliseconds Deadline = milliseconds(1000)) {
    Admission.offer({Next++, customer_name("c"), route_name("r"),
                     config::call_priority::Normal,
                     Clock.steadyNow() + Deadline},
                    Clock.steadyNow());
    advance();
  }

  void advance() {
    for (const admission_action &Action : Admission.advance(Clock.steadyNow()))
      if (Action.Kind == admission_action::kind::Start)
        Running.insert(Action.Ticket);
      else
        ++Refusals;
  }

  /// Finishes all running calls after \p Work.
  void finishAll(milliseconds Work, incarnation_number Incarnation = 100,
                 bool Failed = false) {
    Clock.advance(Work);
    for (call_ticket Ticket : std::exchange(Running, {}))
      Admission.finish({Ticket, Failed, Incarnation}, Clock.steadyNow());
    advance();
  }

  void warmUp() {
    for (int Round = 0; Round < 60; ++Round) {
      for (int Call = 0; Call < 12; ++Call)
        offer();
      finishAll(milliseconds(5));
    }
    CHECK_EQUAL(10U, Admission.limit());
  }
};

// Guards against more concurrent calls to the server than it has slots.
TEST(admission_control, NeverRunsMoreThanTheLimit) {
  for (int Round = 0; Round < 100; ++Round) {
    offer();
    offer();
    offer();
    CHECK(Running.size() <= Admission.limit());
    CHECK(Admission.inFlight() <= 10);
    if (Round % 3 == 0)
      finishAll(milliseconds(5));
  }
  CHECK(Refusals > 0);
}

// Guards against an unannounced restart that is noticed only through the
// incarnation in a response and leaves the limit unchanged.
TEST(admission_control, AChangedIncarnationStartsCold) {
  warmUp();
  finishAll(milliseconds(5), 101);
  CHECK(Admission.limit() <= 2);
  CHECK_FALSE(Admission.isWarm(Clock.steadyNow()));
}

// Guards against a long queue for a cold server, whose delay makes other nodes
// eject it, and against refusals when a short queue is enough.
TEST(admission_control, QueueOfAColdServerIsShort) {
  for (int Call = 0; Call < 30; ++Call)
    offer();
  CHECK_EQUAL(20U, Admission.queued());
  while (Admission.inFlight() > 0)
    finishAll(milliseconds(10));
  Admission.restartCold(Clock.steadyNow());
  for (int Call = 0; Call < 30; ++Call)
    offer();
  CHECK_EQUAL(1U, Admission.inFlight());
  CHECK_EQUAL(2U, Admission.queued());
}

// Guards against refusing a burst at a warm server because low load never
// raised its cold start limit.
TEST(admission_control, AnIdleServerQueuesABurst) {
  Clock.advance(milliseconds(3000));
  for (int Call = 0; Call < 21; ++Call)
    offer();
  CHECK_EQUAL(0, Refusals);
  for (int Round = 0; Round < 8; ++Round)
    finishAll(milliseconds(5));
  CHECK_EQUAL(0U, Admission.queued());
}

// Guards against a delayed response of an earlier incarnation that resets the
// cold start limit.
TEST(admission_control, AnEarlierIncarnationChangesNothing) {
  warmUp();
  finishAll(milliseconds(5), 99);
  CHECK_EQUAL(10U, Admission.limit());
}

// Guards against a repeated announcement that resets a warm server.
TEST(admission_control, TheSameAnnouncementChangesNothing) {
  warmUp();
  Admission.updateCapacity({10, 20, 100}, Clock.steadyNow());
  CHECK_EQUAL(10U, Admission.limit());
}

// Guards against queueing calls whose deadline cannot be met.
TEST(admission_control, RefusesACallWhoseDeadlineCannotBeMet) {
  warmUp();
  int Before = Refusals;
  offer(milliseconds(4));
  CHECK_EQUAL(Before + 1, Refusals);
}

// Guards against a latency estimate that rises in a slow period and then
// refuses all calls, so that no call can lower it again.
TEST(admission_control, OneCallIsAlwaysAdmitted) {
  warmUp();
  for (int Round = 0; Round < 20; ++Round) {
    offer(milliseconds(100000));
    finishAll(milliseconds(5000));
  }
  while (!Running.empty() || Admission.queued() > 0)
    finishAll(milliseconds(5000));
  offer(milliseconds(100));
  CHECK_EQUAL(1U, Running.size());
}

// Guards against a cold start limit that grows too slowly: a server that can
// run one more concurrent call every 100 ms has its full limit of 10 after 1.5
// s, which is 1.5 times the shortest possible time.
TEST(admission_control, ReachesTheFullLimitWithin1500Ms) {
  warmUp();
  finishAll(milliseconds(5), 101);
  steady_time Restart = Clock.steadyNow();
  while (Admission.limit() < 10 || Admission.inFlight() < 10) {
    auto ServerCapacity = 1 + (Clock.steadyNow() - Restart) / milliseconds(100);
    for (int Call = 0; Call < 12; ++Call)
      offer();
    // Calls beyond the capacity of the server wait inside it.
    auto Rounds =
        (std::int64_t(Running.size()) + ServerCapacity - 1) / ServerCapacity;
    CHECK(std::int64_t(Running.size()) <= 3 * ServerCapacity);
    finishAll(milliseconds(5) * Rounds, 101);
    CHECK(Clock.steadyNow() - Restart < milliseconds(1500));
  }
}
