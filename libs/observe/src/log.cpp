#include "gentianlug/observe/log.h"

#include "gentianlug/observe/log_rate_limiter.h"

#include <array>
#include <glog/logging.h>
#include <map>
#include <mutex>

namespace gentianlug::observe {

static constexpr event_description Catalogue[] = {
#define GENTIANLUG_EVENT(Name, Number, Level, Text)                            \
  {event::Name, #Name, severity::Level, Text},
#include "gentianlug/observe/events.def"
#undef GENTIANLUG_EVENT
};

std::span<const event_description> eventCatalogue() { return Catalogue; }

const event_description &describe(event Code) {
  for (const event_description &Row : Catalogue)
    if (Row.Code == Code)
      return Row;
  return Catalogue[0];
}

namespace {

/// The sink and the rate limits, shared by all threads of the process.
struct log_state {
  std::mutex Mutex;
  event_sink *Sink = nullptr;
  std::map<event, log_rate_limiter> RateLimits;
};

} // namespace

static log_state &state() {
  static log_state State;
  return State;
}

void startLogging(const char *Name) {
  google::InitGoogleLogging(Name);
  FLAGS_logtostderr = true;
}

void setEventSink(event_sink *Sink) {
  std::lock_guard Lock(state().Mutex);
  state().Sink = Sink;
}

static void writeLine(const event_description &Row, const std::string &Line) {
  switch (Row.Level) {
  case severity::Info:
    LOG(INFO) << Line;
    return;
  case severity::Warning:
    LOG(WARNING) << Line;
    return;
  case severity::Error:
    LOG(ERROR) << Line;
    return;
  }
}

void logEvent(event Code, std::string_view Detail) {
  const event_description &Row = describe(Code);
  std::uint64_t Suppressed = 0;
  {
    std::lock_guard Lock(state().Mutex);
    if (state().Sink) {
      state().Sink->write(Code, Detail);
      return;
    }
    auto [Limit, Added] =
        state().RateLimits.try_emplace(Code, MaxLogLinesPerSecond);
    auto SuppressedBefore =
        Limit->second.admit(std::chrono::steady_clock::now());
    if (!SuppressedBefore)
      return;
    Suppressed = *SuppressedBefore;
  }
  std::string Line = "GL" + std::to_string(int(Code)) + " ";
  Line.append(Row.Text).append(": ").append(Detail);
  if (Suppressed > 0)
    Line += " (" + std::to_string(Suppressed) + " similar lines suppressed)";
  writeLine(Row, Line);
}

} // namespace gentianlug::observe
