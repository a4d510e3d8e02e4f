#ifndef GENTIANLUG_ROUTING_RETRY_BUDGET_H
#define GENTIANLUG_ROUTING_RETRY_BUDGET_H

#include <cstdint>

namespace gentianlug::routing {

/// Retries that are available from the start, so that a service with few calls
/// can retry at all.
inline constexpr std::int64_t InitialRetries = 10;
/// Maximum number of accumulated retries. It limits how long retries can double
/// the load when a fault follows a long period without retries.
inline constexpr std::int64_t MaxAccumulatedRetries = 100;

/// Token bucket for the retries of one service.
///
/// The number of retries is at most the larger of `InitialRetries` and the
/// given ratio of the calls since the start.
class retry_budget {
public:
  /// \param Ratio retries per call, 0 to 0.5, rounded to thousandths.
  explicit retry_budget(double Ratio);

  void setRatio(double Ratio);

  /// Adds the tokens of a call; called at its first attempt.
  void onFirstAttempt();

  /// Consumes one retry; returns false when none is available.
  bool tryConsume();

private:
  // Tokens are integer thousandths of a retry, so that sums are exact.
  std::int64_t TokensPerCall = 0;
  std::int64_t Tokens;
  /// Part of the initial tokens that calls must earn before tokens accumulate.
  std::int64_t UnearnedTokens;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_RETRY_BUDGET_H
