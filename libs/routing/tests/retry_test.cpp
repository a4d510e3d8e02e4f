#include "gentianlug/routing/call_limits.h"
#include "gentianlug/routing/retry_rules.h"
#include "gentianlug/routing/routing_errc.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::routing;
using namespace std::chrono_literals;

TEST_GROUP(retry) {
  retry_budget Budget{0.1};
  finished_attempt Attempt{
      attempt_outcome::Unknown, true, false, false, 1, 3, 1000ms};

  bool decide() { return decideRetry(Attempt, Budget).Retry; }
};

// Guards against a non-idempotent call that runs twice (P9).
TEST(retry, OnlyIdempotentOrNotRunCallsAreRetried) {
  CHECK(decide());
  Attempt.Idempotent = false;
  CHECK_FALSE(decide());
  Attempt.Outcome = attempt_outcome::NotRun;
  CHECK(decide());
  Attempt.Outcome = attempt_outcome::Responded;
  CHECK_FALSE(decide());
}

// Guards against retries of retries, which multiply with each level of a call
// chain.
TEST(retry, NeitherRetriesNorForbiddenOrLateCallsAreRetried) {
  Attempt.ArrivedAsRetry = true;
  CHECK_FALSE(decide());
  Attempt.ArrivedAsRetry = false;
  Attempt.RetryForbidden = true;
  CHECK_FALSE(decide());
  Attempt.RetryForbidden = false;
  Attempt.Attempts = 3;
  CHECK_FALSE(decide());
  Attempt.Attempts = 2;
  Attempt.RemainingTime = 1ms;
  CHECK_FALSE(decide());
  Attempt.RemainingTime = 1000ms;
  CHECK(decide());
}

// Guards against retries that double the load of a failing service: over any
// number of calls there are at most 1.1 attempts per call, or `InitialRetries`
// retries if that is more.
TEST(retry, RetriesStayATenthOfCalls) {
  int Retries = 0;
  for (int Calls = 1; Calls <= 10000; ++Calls) {
    Budget.onFirstAttempt();
    Retries += decide() ? 1 : 0;
    CHECK(Retries <= std::max(10, Calls / 10));
  }
  CHECK_EQUAL(1000, Retries);
}

// Guards against a burst of retries accumulated over a long period without
// failures.
TEST(retry, AccumulatedRetriesAreBounded) {
  for (int Calls = 0; Calls < 100000; ++Calls)
    Budget.onFirstAttempt();
  int Retries = 0;
  while (Retries < 1000 && decide())
    ++Retries;
  CHECK_EQUAL(100, Retries);
}

TEST_GROUP(call_limits) { manual_clock Clock; };

// Guards against work that continues after the first caller has given up.
TEST(call_limits, TheRemainingTimeShrinksWithEachHop) {
  steady_time Now = Clock.steadyNow();
  auto Limits = makeCallLimits({{}, 0}, 2000ms, Now);
  CHECK(Limits->remainingTime(Now) == 2000ms);
  Limits = makeCallLimits({800ms, 3}, 2000ms, Now);
  CHECK(Limits->remainingTime(Now + 100ms) == 700ms);
  CHECK(Limits->nextHopTimeout(Now + 100ms) == 695ms);
  CHECK(Limits->nextHopTimeout(Now + 780ms) == 18ms);
  CHECK(Limits->remainingTime(Now + 900ms) == 0ms);
  Limits = makeCallLimits({9000ms, 0}, 2000ms, Now);
  CHECK(Limits->remainingTime(Now) == 2000ms);
  CHECK(makeCallLimits({0ms, 0}, 2000ms, Now).failure().Code ==
        make_error_code(routing_errc::DeadlinePassed));
}

// Guards against an endless loop of calls.
TEST(call_limits, TheDepthIsBounded) {
  CHECK_EQUAL(16u, makeCallLimits({{}, 15}, 1s, Clock.steadyNow())->Depth);
  CHECK(makeCallLimits({{}, 16}, 1s, Clock.steadyNow()).failure().Code ==
        make_error_code(routing_errc::CallChainTooDeep));
}
