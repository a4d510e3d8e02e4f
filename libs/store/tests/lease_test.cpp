#include "gentianlug/store/lease.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::store;
using namespace std::chrono_literals;

TEST_GROUP(lease) {
  manual_clock Clock;
  generator Gen{7};
  std::optional<observed_lease> Stored;
  object_revision LastRevision = 0;

  lease_contender contender(const char *Name) {
    return {node_id(Name), {"127.0.0.1", 9000}, {}};
  }

  /// Performs the next action of \p C; returns what it was.
  lease_operation step(lease_contender & C, bool LoseAnswer = false) {
    lease_action Action = C.next(Clock.steadyNow(), Gen);
    if (Action.Operation == lease_operation::Read)
      C.onRead(Clock.steadyNow(), Stored);
    if (Action.Operation != lease_operation::Write)
      return Action.Operation;
    if (Action.ExpectedRevision != (Stored ? Stored->Revision : 0)) {
      C.onConflict(Clock.steadyNow());
      return Action.Operation;
    }
    Stored = observed_lease{Action.Value, ++LastRevision};
    if (LoseAnswer)
      C.onNoAnswer(Clock.steadyNow());
    else
      C.onWritten(Clock.steadyNow(), LastRevision);
    return Action.Operation;
  }

  void runFor(lease_contender & C, std::chrono::milliseconds Time) {
    for (auto Passed = 0ms; Passed < Time; Passed += 100ms) {
      step(C);
      Clock.advance(100ms);
    }
  }

  bool holds(const lease_contender &C) { return C.holds(Clock.steadyNow()); }
};

TEST(lease, FreeLeaseIsTakenAndRenewed) {
  lease_contender A = contender("a");
  runFor(A, 10s);
  CHECK(holds(A));
  CHECK_EQUAL(1U, A.epoch());
  // One write takes the lease, one every 2 s renews it.
  CHECK_EQUAL(5U, LastRevision);
}

// Guards against two holders: a contender must not take a lease that is still
// renewed, whatever it reads late.
TEST(lease, RenewedLeaseIsNotTaken) {
  lease_contender A = contender("a");
  lease_contender B = contender("b");
  for (int Round = 0; Round < 300; ++Round) {
    step(A);
    step(B);
    CHECK_FALSE(holds(B));
    Clock.advance(100ms);
  }
  CHECK(holds(A));
}

// Guards against a holder that was paused past its lease and still acts, and
// against a takeover without a new epoch.
TEST(lease, PausedHolderStopsBeforeTheTakeoverAndIsFencedOff) {
  lease_contender A = contender("a");
  lease_contender B = contender("b");
  runFor(A, 1s);
  auto Epoch = A.epoch();
  for (int Round = 0; Round < 100 && !holds(B); ++Round) {
    step(B);
    CHECK_FALSE(holds(A) && holds(B));
    Clock.advance(100ms);
  }
  CHECK(holds(B));
  CHECK_EQUAL(Epoch + 1, B.epoch());
  runFor(A, 1s);
  CHECK_FALSE(holds(A));
  CHECK_FALSE(A.isLastKnownHolder());
}

// Guards against a write that took effect but counts as lost, which would
// leave the lease without a holder for its whole expiry time.
TEST(lease, LostAnswerIsResolvedByTheWriteId) {
  lease_contender A = contender("a");
  step(A);
  CHECK(step(A, true) == lease_operation::Write);
  CHECK_FALSE(holds(A));
  runFor(A, 1s);
  CHECK(holds(A));
  CHECK_EQUAL(1U, LastRevision);
}

// Guards against a relay that gives its role up while the platform is down,
// although nobody can take it over; it must only stop its platform writes.
TEST(lease, HolderKeepsTheRoleButStopsWritingWhilePlatformIsDown) {
  lease_contender A = contender("a");
  runFor(A, 1s);
  for (int Round = 0; Round < 100; ++Round) {
    if (A.next(Clock.steadyNow(), Gen).Operation != lease_operation::Wait)
      A.onNoAnswer(Clock.steadyNow());
    Clock.advance(100ms);
  }
  CHECK_FALSE(holds(A));
  CHECK(A.isLastKnownHolder());
  runFor(A, 3s);
  CHECK(holds(A));
}

// Guards against a planned stop that leaves the lease blocked until it expires.
TEST(lease, ReleasedLeaseIsTakenAtOnceWithTheNextEpoch) {
  lease_contender A = contender("a");
  lease_contender B = contender("b");
  runFor(A, 1s);
  A.release();
  step(A);
  CHECK_FALSE(holds(A));
  runFor(B, 200ms);
  CHECK(holds(B));
  CHECK_EQUAL(2U, B.epoch());
}
