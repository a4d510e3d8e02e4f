#ifndef GENTIANLUG_STORE_RETRY_SCHEDULE_H
#define GENTIANLUG_STORE_RETRY_SCHEDULE_H

#include "gentianlug/core/random.h"

#include <chrono>
#include <optional>

namespace gentianlug::store {

/// Bounded exponential backoff with jitter for the retries of one call.
///
/// Six attempts with mean delays of 100, 200, 400, 800 and 1,600 ms span a rate
/// limit window of one second and short outages.
///
/// Example: `retry_schedule Retries; while (auto Delay = Retries.next(Gen))`
class retry_schedule {
public:
  static constexpr unsigned MaxRetries = 5;
  static constexpr std::chrono::milliseconds InitialDelay{100};

  /// Returns the delay before the next attempt, or `std::nullopt` if there are
  /// no retries left.
  std::optional<std::chrono::milliseconds> next(generator &Gen) {
    if (Retries == MaxRetries)
      return std::nullopt;
    return drawJitter(Gen, InitialDelay * (1 << Retries++));
  }

private:
  unsigned Retries = 0;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_RETRY_SCHEDULE_H
