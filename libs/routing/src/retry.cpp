#include "gentianlug/routing/retry_budget.h"
#include "gentianlug/routing/retry_rules.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::routing {

static constexpr std::int64_t TokensPerRetry = 1000;

retry_budget::retry_budget(double Share)
    : Tokens(InitialRetries * TokensPerRetry),
      UnearnedTokens(InitialRetries * TokensPerRetry) {
  setRatio(Share);
}

void retry_budget::setRatio(double Share) {
  TokensPerCall = std::llround(Share * double(TokensPerRetry));
}

void retry_budget::onFirstAttempt() {
  if (UnearnedTokens > 0)
    UnearnedTokens -= TokensPerCall;
  else
    Tokens = std::min(Tokens + TokensPerCall, MaxSavedRetries * TokensPerRetry);
}

bool retry_budget::tryConsume() {
  if (Tokens < TokensPerRetry)
    return false;
  Tokens -= TokensPerRetry;
  return true;
}

retry_decision decideRetry(const finished_attempt &Try, retry_budget &Budget) {
  if (Try.Outcome == attempt_outcome::Responded)
    return {false, "answered"};
  if (Try.Outcome == attempt_outcome::Unknown && !Try.Idempotent)
    return {false, "may have run and is not idempotent"};
  if (Try.ArrivedAsRetry)
    return {false, "is itself a retry"};
  if (Try.RetryForbidden)
    return {false, "answer forbids a retry"};
  if (Try.Attempts >= Try.MaxAttempts)
    return {false, "no tries left"};
  if (Try.RemainingTime < MinTimeForRetry)
    return {false, "no time left"};
  if (!Budget.tryConsume())
    return {false, "retry budget is used up"};
  return {true, Try.Outcome == attempt_outcome::NotRun
                    ? "did not run"
                    : "idempotent, no answer"};
}

} // namespace gentianlug::routing
