#ifndef GENTIANLUG_GATEWAY_EVENT_LOG_H
#define GENTIANLUG_GATEWAY_EVENT_LOG_H

#include "gentianlug/observe/event.h"
#include "gentianlug/observe/line_rate_bound.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianlug::gateway {

/// One named value of a log line.
struct log_field {
  const char *Name;
  std::variant<std::string_view, std::int64_t> Value;

  log_field(const char *Name, std::string_view Text)
      : Name(Name), Value(Text) {}
  log_field(const char *Name, const char *Text)
      : Name(Name), Value(std::string_view(Text)) {}
  log_field(const char *Name, const std::string &Text)
      : Name(Name), Value(std::string_view(Text)) {}
  log_field(const char *Name, std::int64_t Number)
      : Name(Name), Value(Number) {}
  log_field(const char *Name, std::chrono::milliseconds Time)
      : Name(Name), Value(std::int64_t(Time.count())) {}
};

/// Writes one JSON object a line to a descriptor and never waits for it.
///
/// Lines of one event are bounded by a rate; further ones are counted in the
/// next line of that event. What the descriptor does not take at once is kept
/// up to `MaxPendingBytes`; beyond that lines are dropped and counted.
class event_log {
public:
  /// \param Fd open descriptor; it is set to non-blocking.
  event_log(int Fd, std::string Node);

  void write(observe::event Code, std::initializer_list<log_field> Fields);
  /// Passes on what is pending, as far as the reader takes it.
  void flush();
  std::uint64_t droppedLines() const { return DroppedLines; }

private:
  static constexpr unsigned MaxLinesPerSecond = 100;
  static constexpr std::size_t MaxPendingBytes = 256UL << 10;
  /// Pending bytes from which a line is passed on at once.
  static constexpr std::size_t FlushBytes = 8UL << 10;

  int Fd;
  std::string Node;
  std::string Pending;
  std::uint64_t DroppedLines = 0;
  std::map<observe::event, observe::line_rate_bound> RateLimits;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_EVENT_LOG_H
