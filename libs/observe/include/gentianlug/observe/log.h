#ifndef GENTIANLUG_OBSERVE_LOG_H
#define GENTIANLUG_OBSERVE_LOG_H

#include "gentianlug/observe/event.h"

#include <string>
#include <string_view>

namespace gentianlug::observe {

/// Receives log events in place of glog, for tests.
class event_sink {
public:
  virtual ~event_sink() = default;
  virtual void write(event Code, std::string_view Detail) = 0;
};

/// Limit on the log lines of one event per second. Lines beyond it are
/// suppressed, and the next line that is written reports their number.
inline constexpr unsigned MaxLogLinesPerSecond = 50;

/// Initializes glog for the program \p Name, with output to standard error.
void startLogging(const char *Name);

/// Writes the line "GLNNNN TEXT: DETAIL", subject to the rate limit of the
/// event.
///
/// Safe to call from any thread.
void logEvent(event Code, std::string_view Detail);

/// Replaces the sink; null restores glog. Must not be called while other
/// threads log.
void setEventSink(event_sink *Sink);

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_LOG_H
