#ifndef GENTIANLUG_OBSERVE_LOG_RATE_LIMITER_H
#define GENTIANLUG_OBSERVE_LOG_RATE_LIMITER_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::observe {

/// Limits the number of log lines of one event in each window of one second.
class log_rate_limiter {
public:
  explicit log_rate_limiter(unsigned LinesPerSecond)
      : MaxLines(LinesPerSecond) {}

  /// Requests to write one line at the time \p Now.
  ///
  /// \returns the number of lines suppressed since the last admitted one, or
  /// nullopt if this line is suppressed as well.
  std::optional<std::uint64_t>
  admit(std::chrono::steady_clock::time_point Now) {
    if (Now - WindowStart >= std::chrono::seconds(1)) {
      WindowStart = Now;
      LinesWritten = 0;
    }
    if (LinesWritten >= MaxLines) {
      ++Suppressed;
      return std::nullopt;
    }
    ++LinesWritten;
    std::uint64_t SuppressedBefore = Suppressed;
    Suppressed = 0;
    return SuppressedBefore;
  }

private:
  unsigned MaxLines;
  unsigned LinesWritten = 0;
  std::uint64_t Suppressed = 0;
  std::chrono::steady_clock::time_point WindowStart{};
};

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_LOG_RATE_LIMITER_H
