#ifndef GENTIANLUG_OBSERVE_LOG_H
#define GENTIANLUG_OBSERVE_LOG_H

#include "gentianlug/observe/event.h"

#include <string>
#include <string_view>

namespace gentianlug::observe {

/// Receives log events; tests install their own.
class event_sink {
public:
  virtual ~event_sink() = default;
  virtual void write(event Code, std::string_view Detail) = 0;
};

/// Lines per second that one event may write; further lines are counted and
/// reported with the next line that passes.
inline constexpr unsigned MaxLinesPerSecond = 50;

/// Starts glog for the program \p Name, writing to standard error.
void startLogging(const char *Name);

/// Writes one line "GLNNNN TEXT: DETAIL", within the rate bound of the event.
///
/// Safe to call from any thread.
void logEvent(event Code, std::string_view Detail);

/// Replaces the sink; null restores glog. Not safe while other threads log.
void setEventSink(event_sink *Sink);

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_LOG_H
