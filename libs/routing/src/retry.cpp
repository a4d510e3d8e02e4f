#include "gentianlug/routing/retry_budget.h"
#include "gentianlug/routing/retry_rules.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::routing {

static constexpr std::int64_t TokensPerRetry = 1000;

retry_budget::retry_budget(double Ratio)
    : Tokens(InitialRetries * TokensPerRetry),
      UnearnedTokens(InitialRetries * TokensPerRetry) {
  setRatio(Ratio);
}

void retry_budget::setRatio(double Ratio) {
  TokensPerCall = std::llround(Ratio * double(TokensPerRetry));
}

void retry_budget::onFirstAttempt() {
  if (UnearnedTokens > 0)
    UnearnedTokens -= TokensPerCall;
  else
    Tokens = std::min(Tokens + TokensPerCall,
                      MaxAccumulatedRetries * TokensPerRetry);
}

bool retry_budget::tryConsume() {
  if (Tokens < TokensPerRetry)
    return false;
  Tokens -= TokensPerRetry;
  return true;
}

retry_decision decideRetry(const finished_attempt &Attempt,
                           retry_budget &Budget) {
  if (Attempt.Outcome == attempt_outcome::Responded)
    return {false, "answered"};
  if (Attempt.Outcome == attempt_outcome::Unknown && !Attempt.Idempotent)
    return {false, "may have run and is not idempotent"};
  if (Attempt.ArrivedAsRetry)
    return {false, "is itself a retry"};
  if (Attempt.RetryForbidden)
    return {false, "response forbids a retry"};
  if (Attempt.Attempts >= Attempt.MaxAttempts)
    return {false, "no attempts left"};
  if (Attempt.RemainingTime < MinTimeForRetry)
    return {false, "no time left"};
  if (!Budget.tryConsume())
    return {false, "retry budget is used up"};
  return {true, Attempt.Outcome == attempt_outcome::NotRun
                    ? "did not run"
                    : "idempotent and no response"};
}

} // namespace gentianlug::routing
