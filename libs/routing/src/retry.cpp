#include "gentianlug/routing/retry_budget.h"
#include "gentianlug/routing/retry_rules.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::routing {

static constexpr std::int64_t Whole = 1000;

retry_budget::retry_budget(double Share)
    : Tokens(InitialRetries * Whole), Loan(InitialRetries * Whole) {
  setShare(Share);
}

void retry_budget::setShare(double Share) {
  Deposit = std::llround(Share * double(Whole));
}

void retry_budget::onFirstTry() {
  if (Loan > 0)
    Loan -= Deposit;
  else
    Tokens = std::min(Tokens + Deposit, MaxSavedRetries * Whole);
}

bool retry_budget::takeRetry() {
  if (Tokens < Whole)
    return false;
  Tokens -= Whole;
  return true;
}

retry_decision decideRetry(const ended_try &Try, retry_budget &Budget) {
  if (Try.Outcome == try_outcome::Answered)
    return {false, "answered"};
  if (Try.Outcome == try_outcome::Unknown && !Try.Idempotent)
    return {false, "may have run and is not idempotent"};
  if (Try.ArrivedAsRetry)
    return {false, "is itself a retry"};
  if (Try.RetryForbidden)
    return {false, "answer forbids a retry"};
  if (Try.Tries >= Try.MaxTries)
    return {false, "no tries left"};
  if (Try.TimeLeft < MinRetryTime)
    return {false, "no time left"};
  if (!Budget.takeRetry())
    return {false, "retry budget is used up"};
  return {true, Try.Outcome == try_outcome::NotRun ? "did not run"
                                                   : "idempotent, no answer"};
}

} // namespace gentianlug::routing
