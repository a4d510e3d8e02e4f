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

  /// Ends all running calls after \p Work.
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

// Guards against more calls at the server than it has slots.
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

// Guards against a restart without notice that answers reveal.
TEST(admission_control, AChangedIncarnationStartsCold) {
  warmUp();
  finishAll(milliseconds(5), 101);
  CHECK(Admission.limit() <= 2);
  CHECK_FALSE(Admission.isWarm(Clock.steadyNow()));
}

// Guards against a long wait in front of a cold server, which makes other
// nodes take it for broken, and against refusals where a short wait is enough.
TEST(admission_control, CallsWaitOnlyShortlyForAColdServer) {
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

// Guards against a small allowance that low load has left behind, and that
// refuses a burst at a warm server.
TEST(admission_control, AQuietServerQueuesABurst) {
  Clock.advance(milliseconds(3000));
  for (int Call = 0; Call < 21; ++Call)
    offer();
  CHECK_EQUAL(0, Refusals);
  for (int Round = 0; Round < 8; ++Round)
    finishAll(milliseconds(5));
  CHECK_EQUAL(0U, Admission.queued());
}

// Guards against a late answer of an earlier life that starts cold again.
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

// Guards against calls that wait although their deadline cannot be met.
TEST(admission_control, RefusesACallWhoseDeadlineCannotBeMet) {
  warmUp();
  int Before = Refusals;
  offer(milliseconds(4));
  CHECK_EQUAL(Before + 1, Refusals);
}

// Guards against an estimate that refuses all calls for ever after a slow
// moment.
TEST(admission_control, OneCallMayAlwaysTry) {
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

// Guards against a warm server that needs more than 1.5 times the fastest
// time that it bears to get its full share: a server that bears one more call
// every 100 ms has to have its full share after 1.5 s.
TEST(admission_control, ReachesTheFullShareAlmostAsFastAsTheServerWarms) {
  warmUp();
  finishAll(milliseconds(5), 101);
  steady_time Restart = Clock.steadyNow();
  while (Admission.limit() < 10 || Admission.inFlight() < 10) {
    auto Bears = 1 + (Clock.steadyNow() - Restart) / milliseconds(100);
    for (int Call = 0; Call < 12; ++Call)
      offer();
    // Calls beyond what the server bears wait inside it.
    auto Rounds = (std::int64_t(Running.size()) + Bears - 1) / Bears;
    CHECK(std::int64_t(Running.size()) <= 3 * Bears);
    finishAll(milliseconds(5) * Rounds, 101);
    CHECK(Clock.steadyNow() - Restart < milliseconds(1500));
  }
}
