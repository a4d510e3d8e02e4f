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

  /// Performs the next operation of \p C and returns it.
  lease_operation step(lease_contender & C, bool LoseResponse = false) {
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
    if (LoseResponse)
      C.onNoResponse(Clock.steadyNow());
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

TEST(lease, FreeLeaseIsAcquiredAndRenewed) {
  lease_contender A = contender("a");
  runFor(A, 10s);
  CHECK(holds(A));
  CHECK_EQUAL(1U, A.epoch());
  // One write acquires the lease, and one every 2 s renews it.
  CHECK_EQUAL(5U, LastRevision);
}

// Guards against two holders: a contender must not acquire a lease that is
// being renewed, even if its reads are delayed.
TEST(lease, RenewedLeaseIsNotTakenOver) {
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

// Guards against a holder that still acts after a pause that outlasted its
// lease, and against a takeover without a new epoch.
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

// Guards against treating a write that took effect as lost, which would leave
// the lease without a holder until it expires.
TEST(lease, LostResponseIsResolvedByTheWriteId) {
  lease_contender A = contender("a");
  step(A);
  CHECK(step(A, true) == lease_operation::Write);
  CHECK_FALSE(holds(A));
  runFor(A, 1s);
  CHECK(holds(A));
  CHECK_EQUAL(1U, LastRevision);
}

// Guards against a relay that gives up its role while the platform is down,
// when no other can take over; it must only stop writing to the platform.
TEST(lease, HolderKeepsTheRoleButStopsWritingWhilePlatformIsDown) {
  lease_contender A = contender("a");
  runFor(A, 1s);
  for (int Round = 0; Round < 100; ++Round) {
    if (A.next(Clock.steadyNow(), Gen).Operation != lease_operation::Wait)
      A.onNoResponse(Clock.steadyNow());
    Clock.advance(100ms);
  }
  CHECK_FALSE(holds(A));
  CHECK(A.isLastKnownHolder());
  runFor(A, 3s);
  CHECK(holds(A));
}

// Guards against a graceful shutdown that does not free the lease.
TEST(lease, ReleasedLeaseIsAcquiredImmediatelyWithTheNextEpoch) {
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

// Guards against a holder that has to wait for the next renewal before it can
// store what it decided.
TEST(lease, RequestedRenewalIsWrittenAtOnce) {
  lease_contender A = contender("a");
  runFor(A, 1s);
  CHECK(step(A) == lease_operation::Wait);
  A.requestRenewal();
  CHECK(step(A) == lease_operation::Write);
  CHECK(step(A) == lease_operation::Wait);
  CHECK_EQUAL(1U, A.epoch());
}
