#ifndef GENTIANLUG_ROUTING_RETRY_BUDGET_H
#define GENTIANLUG_ROUTING_RETRY_BUDGET_H

#include <cstdint>

namespace gentianlug::routing {

/// Retries that a service may have before its first tries have paid for them,
/// so that a service with few calls can retry at all.
inline constexpr std::int64_t InitialRetries = 10;
/// Bound on saved retries: a fault after a long quiet time must not double the
/// load for longer than it takes to use them.
inline constexpr std::int64_t MaxSavedRetries = 100;

/// Token bucket for the retries of one service.
///
/// Retries are at most the given share of the first tries since the start, or
/// `InitialRetries`.
class retry_budget {
public:
  /// \param Share retries for each first try, 0 to 0.5, in whole thousandths.
  explicit retry_budget(double Share);

  void setRatio(double Share);

  /// Counts the first try of a call.
  void onFirstAttempt();

  /// Takes one retry; returns false when there is none.
  bool tryConsume();

private:
  // In thousandths of a retry, so that sums are exact.
  std::int64_t TokensPerCall = 0;
  std::int64_t Tokens;
  /// What first tries pay back before any tokens are saved.
  std::int64_t UnearnedTokens;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_RETRY_BUDGET_H
