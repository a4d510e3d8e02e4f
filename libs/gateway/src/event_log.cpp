#include "gentianlug/gateway/event_log.h"

#include "gentianlug/core/text.h"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace gentianlug::gateway {

event_log::event_log(int Fd, std::string Node) : Fd(Fd), Node(std::move(Node)) {
  int Flags = fcntl(Fd, F_GETFL);
  if (Flags >= 0)
    (void)fcntl(Fd, F_SETFL, Flags | O_NONBLOCK);
}

static void appendText(std::string &Line, std::string_view Text) {
  // A line with other bytes would be no JSON.
  std::string Replaced;
  if (!isValidUtf8(Text))
    Text = Replaced = replaceInvalidUtf8(Text);
  Line += '"';
  for (char Byte : Text) {
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    auto Code = static_cast<unsigned char>(Byte);
    if (Byte == '"' || Byte == '\\') {
      Line += '\\';
      Line += Byte;
    } else if (Code < FirstPrintable || Code == Delete) {
      Line += '?';
    } else {
      Line += Byte;
    }
  }
  Line += '"';
}

static void appendField(std::string &Line, const log_field &Field) {
  Line.append(",\"").append(Field.Name).append("\":");
  if (const auto *Number = std::get_if<std::int64_t>(&Field.Value))
    Line += std::to_string(*Number);
  else
    appendText(Line, std::get<std::string_view>(Field.Value));
}

void event_log::write(observe::event Event,
                      std::initializer_list<log_field> Fields) {
  auto [Limit, Added] = RateLimits.try_emplace(Event, MaxLinesPerSecond);
  auto Omitted = Limit->second.admit(std::chrono::steady_clock::now());
  if (!Omitted)
    return;
  if (Pending.size() > MaxPendingBytes) {
    ++DroppedLines;
    return;
  }
  auto WallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const observe::event_description &Description = observe::describe(Event);
  Pending += "{\"time_ms\":" + std::to_string(WallTime.count());
  appendField(Pending, {"node", Node});
  appendField(Pending, {"event", "GL" + std::to_string(int(Event))});
  appendField(Pending, {"name", Description.Name});
  for (const log_field &Field : Fields)
    appendField(Pending, Field);
  if (*Omitted > 0)
    appendField(Pending, {"omitted_before", std::int64_t(*Omitted)});
  if (DroppedLines > 0)
    appendField(Pending, {"dropped_total", std::int64_t(DroppedLines)});
  Pending += "}\n";
  if (Pending.size() > FlushBytes)
    flush();
}

void event_log::flush() {
  if (Pending.empty())
    return;
  ssize_t Written = ::write(Fd, Pending.data(), Pending.size());
  if (Written > 0)
    Pending.erase(0, std::size_t(Written));
}

} // namespace gentianlug::gateway
