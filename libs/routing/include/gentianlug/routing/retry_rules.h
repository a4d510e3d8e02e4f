#ifndef GENTIANLUG_ROUTING_RETRY_RULES_H
#define GENTIANLUG_ROUTING_RETRY_RULES_H

#include "gentianlug/routing/retry_budget.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace gentianlug::routing {

/// Outcome of an attempt.
enum class attempt_outcome : std::uint8_t {
  Responded,
  /// No byte of the request reached a server.
  NotRun,
  /// The call may have run.
  Unknown,
};

/// An attempt of a call that finished or got no response in time.
struct finished_attempt {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  bool Idempotent = false;
  /// The call is itself a retry by an upstream node.
  bool ArrivedAsRetry = false;
  /// The response contained `gl-no-retry`.
  bool RetryForbidden = false;
  /// Attempts so far, at least 1.
  std::uint32_t Attempts = 1;
  std::uint32_t MaxAttempts = 1;
  std::chrono::milliseconds RemainingTime{0};
};

/// Whether to retry, with the reason.
struct retry_decision {
  bool Retry = false;
  std::string_view Reason;
};

/// A retry with less remaining time would only add load.
inline constexpr std::chrono::milliseconds MinTimeForRetry{2};

/// Decides whether a call is retried. \p Budget is charged only when every
/// other rule allows the retry.
retry_decision decideRetry(const finished_attempt &Attempt,
                           retry_budget &Budget);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_RETRY_RULES_H
