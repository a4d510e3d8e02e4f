#ifndef GENTIANLUG_OBSERVE_LINE_RATE_BOUND_H
#define GENTIANLUG_OBSERVE_LINE_RATE_BOUND_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::observe {

/// Bounds the log lines of one event in each window of one second.
class line_rate_bound {
public:
  explicit line_rate_bound(unsigned LinesPerSecond) : MaxLines(LinesPerSecond) {}

  /// Asks to write one line.
  ///
  /// \returns the number of lines suppressed before this one, or nothing when
  /// this line is suppressed too.
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
    std::uint64_t Before = Suppressed;
    Suppressed = 0;
    return Before;
  }

private:
  unsigned MaxLines;
  unsigned LinesWritten = 0;
  std::uint64_t Suppressed = 0;
  std::chrono::steady_clock::time_point WindowStart{};
};

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_LINE_RATE_BOUND_H
