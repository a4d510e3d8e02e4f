#ifndef GENTIANLUG_ROUTING_RETRY_RULES_H
#define GENTIANLUG_ROUTING_RETRY_RULES_H

#include "gentianlug/routing/retry_budget.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace gentianlug::routing {

/// How one try ended.
enum class attempt_outcome : std::uint8_t {
  Responded,
  /// No byte of the request reached a server.
  NotRun,
  /// The call may have run.
  Unknown,
};

/// One ended or silent try of a call.
struct finished_attempt {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  bool Idempotent = false;
  /// The call arrived as a retry of a node further up.
  bool ArrivedAsRetry = false;
  /// The answer carried `gl-no-retry`.
  bool RetryForbidden = false;
  /// Tries so far, at least 1.
  std::uint32_t Attempts = 1;
  std::uint32_t MaxAttempts = 1;
  std::chrono::milliseconds RemainingTime{0};
};

/// Whether to try again, with the reason.
struct retry_decision {
  bool Retry = false;
  std::string_view Reason;
};

/// A retry with less time than this would only add load.
inline constexpr std::chrono::milliseconds MinTimeForRetry{2};

/// Decides whether a call is sent again. A retry is taken from \p Budget only
/// when every other rule allows it.
retry_decision decideRetry(const finished_attempt &Try, retry_budget &Budget);

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_RETRY_RULES_H
