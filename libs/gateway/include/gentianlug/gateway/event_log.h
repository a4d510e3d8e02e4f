#ifndef GENTIANLUG_GATEWAY_EVENT_LOG_H
#define GENTIANLUG_GATEWAY_EVENT_LOG_H

#include "gentianlug/observe/event.h"
#include "gentianlug/observe/log_rate_limiter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianlug::gateway {

/// A named value in a log line.
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

/// Writes JSON lines to a file descriptor without blocking.
///
/// The lines of each event are rate-limited; the next line of the event states
/// how many were omitted. Output that the descriptor does not accept is
/// buffered. While the buffer holds more than `MaxPendingBytes`, lines are
/// dropped and counted.
class event_log {
public:
  /// \param Fd open file descriptor; it is set to non-blocking mode.
  event_log(int Fd, std::string Node);

  void write(observe::event Event, std::initializer_list<log_field> Fields);
  /// Writes as much of the buffer as the descriptor accepts.
  void flush();
  std::uint64_t droppedLines() const { return DroppedLines; }

private:
  static constexpr unsigned MaxLinesPerSecond = 100;
  static constexpr std::size_t MaxPendingBytes = 256UL << 10;
  /// Buffer size above which `write` flushes at once.
  static constexpr std::size_t FlushBytes = 8UL << 10;

  int Fd;
  std::string Node;
  std::string Pending;
  std::uint64_t DroppedLines = 0;
  std::map<observe::event, observe::log_rate_limiter> RateLimits;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_EVENT_LOG_H
