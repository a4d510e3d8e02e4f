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
  state queryOrRefuse(const call_id &Call,
                      std::uint32_t Attempt = AllAttempts) {
    return Ledger.queryOrRefuse(Call, Attempt, Clock.steadyNow());
  }
  void finish(const call_id &Call, const std::string &Body) {
    Ledger.finish(Call, recorded_response{200, {}, Body}, Clock.steadyNow());
  }
};

// Guards against a call that runs twice because its response was lost.
TEST(call_ledger, ARepeatedCallGetsTheRecordedResponse) {
  CHECK(begin(Id) == state::Started);
  CHECK(begin(Id) == state::Running);
  finish(Id, "done");
  CHECK(begin(Id, 7) == state::Completed);
  CHECK_EQUAL(std::string("done"), Ledger.response(Id)->Body);
}

// Guards against a delayed duplicate that runs after the entry node was told
// that the call is unknown.
TEST(call_ledger, AnUnknownIdIsRefusedAfterAQuery) {
  CHECK(queryOrRefuse(Id) == state::Refused);
  CHECK(begin(Id) == state::Refused);
  CHECK(begin(Id, 9) == state::Refused);
  CHECK(Ledger.isRefused(Id, 9, Clock.steadyNow()));
}

// Guards against refusing a further attempt although the entry node knows that
// the earlier one did not run.
TEST(call_ledger, ALaterAttemptMayRunAfterAnEarlierOneWasRefused) {
  CHECK(queryOrRefuse(Id, 1) == state::Refused);
  CHECK(begin(Id, 1) == state::Refused);
  CHECK(begin(Id, 2) == state::Started);
  Ledger.abandon(Id, Clock.steadyNow());
  CHECK(begin(Id, 1) == state::Refused);
}

// Guards against an abandoned attempt that blocks the next attempt of the call.
TEST(call_ledger, AnAbandonedCallMayBeginAgain) {
  begin(Id);
  Ledger.abandon(Id, Clock.steadyNow());
  CHECK_EQUAL(0U, Ledger.bytes());
  CHECK(begin(Id) == state::Started);
}

// Guards against unbounded memory, and against a full ledger that evicts a call
// to make room.
TEST(call_ledger, AFullLedgerAcceptsAndEvictsNothing) {
  int Accepted = 0;
  while (begin(call_id("o" + std::to_string(Accepted))) == state::Started) {
    finish(call_id("o" + std::to_string(Accepted)), std::string(64 << 10, 'x'));
    ++Accepted;
  }
  CHECK(Ledger.bytes() <= 32U << 20);
  CHECK(Accepted > 450);
  CHECK(begin(call_id("late")) == state::Full);
  CHECK(begin(call_id("o0")) == state::Completed);
  // Entries without a response are smaller and still fit until the memory is
  // used up.
  int Queried = 0;
  while (queryOrRefuse(call_id("q" + std::to_string(Queried))) ==
         state::Refused)
    ++Queried;
  CHECK(Ledger.bytes() <= 32U << 20);
  CHECK(queryOrRefuse(call_id("late")) == state::Full);
}

// Guards against entries that never expire or that expire early.
TEST(call_ledger, KeepsEntriesForTheRetentionTime) {
  begin(Id);
  finish(Id, "done");
  Clock.advance(std::chrono::milliseconds(59999));
  CHECK(begin(Id) == state::Completed);
  Clock.advance(std::chrono::milliseconds(1));
  CHECK(begin(call_id("other")) == state::Started);
  CHECK_EQUAL(1U, Ledger.entries());
}

// Guards against an entry that expires while its call is still running.
TEST(call_ledger, ARunningCallDoesNotExpire) {
  queryOrRefuse(Id, 1);
  begin(Id, 2);
  Clock.advance(std::chrono::seconds(120));
  CHECK(begin(Id, 3) == state::Running);
}

// Guards against running a call again because its response was too large to
// keep.
TEST(call_ledger, ACallWithALargeResponseDoesNotRunAgain) {
  begin(Id);
  finish(Id, std::string((64 << 10) + 1, 'x'));
  CHECK(begin(Id) == state::ResponseNotKept);
  CHECK(Ledger.bytes() < 1024);
}
