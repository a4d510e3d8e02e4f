#include "gentianlug/admission/call_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using state = call_ledger::state;

TEST_GROUP(call_ledger) {
  manual_clock Clock;
  call_ledger Ledger;
  call_id Id{"order-1"};

  state begin(const call_id &Call, std::uint32_t Attempt = 1) {
    return Ledger.begin(Call, Attempt, Clock.steadyNow());
  }
  state ask(const call_id &Call, std::uint32_t Attempt = AllAttempts) {
    return Ledger.queryOrRefuse(Call, Attempt, Clock.steadyNow());
  }
  void finish(const call_id &Call, const std::string &Body) {
    Ledger.finish(Call, recorded_response{200, {}, Body}, Clock.steadyNow());
  }
};

// Guards against an order that runs twice since its answer was lost.
TEST(call_ledger, ARepeatedCallGetsTheRecordedAnswer) {
  CHECK(begin(Id) == state::Started);
  CHECK(begin(Id) == state::Running);
  finish(Id, "done");
  CHECK(begin(Id, 7) == state::Completed);
  CHECK_EQUAL(std::string("done"), Ledger.response(Id)->Body);
}

// Guards against a delayed copy that runs after the entry node was told that
// the call is unknown.
TEST(call_ledger, AnUnknownIdIsRefusedAfterTheQuestion) {
  CHECK(ask(Id) == state::Refused);
  CHECK(begin(Id) == state::Refused);
  CHECK(begin(Id, 9) == state::Refused);
  CHECK(Ledger.isRefused(Id, 9, Clock.steadyNow()));
}

// Guards against a further attempt that is refused although its entry node
// knows that the earlier one did not run.
TEST(call_ledger, ALaterAttemptMayRunAfterAnEarlierOneWasRefused) {
  CHECK(ask(Id, 1) == state::Refused);
  CHECK(begin(Id, 1) == state::Refused);
  CHECK(begin(Id, 2) == state::Started);
  Ledger.abandon(Id, Clock.steadyNow());
  CHECK(begin(Id, 1) == state::Refused);
}

// Guards against a refusal that blocks the next try of the same call.
TEST(call_ledger, AnAbandonedCallMayBeginAgain) {
  begin(Id);
  Ledger.abandon(Id, Clock.steadyNow());
  CHECK_EQUAL(0U, Ledger.bytes());
  CHECK(begin(Id) == state::Started);
}

// Guards against memory without a bound, and against a full ledger that
// forgets a call to make room.
TEST(call_ledger, AFullLedgerAcceptsNothingAndForgetsNothing) {
  int Accepted = 0;
  while (begin(call_id("o" + std::to_string(Accepted))) == state::Started) {
    finish(call_id("o" + std::to_string(Accepted)), std::string(64 << 10, 'x'));
    ++Accepted;
  }
  CHECK(Ledger.bytes() <= 32U << 20);
  CHECK(Accepted > 450);
  CHECK(begin(call_id("late")) == state::Full);
  CHECK(begin(call_id("o0")) == state::Completed);
  // Small entries still fit for a while; the question is refused at the end.
  int Asked = 0;
  while (ask(call_id("q" + std::to_string(Asked))) == state::Refused)
    ++Asked;
  CHECK(Ledger.bytes() <= 32U << 20);
  CHECK(ask(call_id("late")) == state::Full);
}

// Guards against entries that are kept for ever, or dropped early.
TEST(call_ledger, KeepsEntriesForTheirTime) {
  begin(Id);
  finish(Id, "done");
  Clock.advance(std::chrono::milliseconds(59999));
  CHECK(begin(Id) == state::Completed);
  Clock.advance(std::chrono::milliseconds(1));
  CHECK(begin(call_id("other")) == state::Started);
  CHECK_EQUAL(1U, Ledger.entries());
}

// Guards against a long call that is dropped while it runs.
TEST(call_ledger, ARunningCallDoesNotExpire) {
  ask(Id, 1);
  begin(Id, 2);
  Clock.advance(std::chrono::seconds(120));
  CHECK(begin(Id, 3) == state::Running);
}

// Guards against a large answer that lets the call run again.
TEST(call_ledger, ACallWithALargeAnswerDoesNotRunAgain) {
  begin(Id);
  finish(Id, std::string((64 << 10) + 1, 'x'));
  CHECK(begin(Id) == state::ResponseNotKept);
  CHECK(Ledger.bytes() < 1024);
}
