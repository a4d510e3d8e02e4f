#include "gentianlug/mesh/retry_budget.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Fractions of the retry limit that are divided among the servers.
static constexpr double AllocatedRatioPart = 0.75;
static constexpr double AllocatedBurstPart = 0.4;

void retry_budget::configure(const mesh_bounds &Bounds, std::size_t Servers) {
  TokensPerCall = Bounds.RetryBudgetRatio * AllocatedRatioPart;
  MaxTokens = Bounds.RetryBudgetSlack * AllocatedBurstPart /
              double(std::max<std::size_t>(Servers, 1));
  Tokens = Configured ? std::min(Tokens, MaxTokens) : MaxTokens;
  Configured = true;
}

void retry_budget::onFirstAttempt() {
  Tokens = std::min(Tokens + TokensPerCall, MaxTokens);
}

void retry_budget::onInheritedRetry() {
  Tokens = std::max(Tokens - 1, -MaxTokens);
}

bool retry_budget::tryAcquire() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace gentianlug::mesh
