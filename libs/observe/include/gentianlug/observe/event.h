#ifndef GENTIANLUG_OBSERVE_EVENT_H
#define GENTIANLUG_OBSERVE_EVENT_H

#include <span>
#include <string_view>

namespace gentianlug::observe {

/// Severity of a log event.
enum class severity { Info, Warning, Error };

/// Numbered log events, documented in `docs/events.md`.
enum class event : int {
#define GENTIANLUG_EVENT(Name, Number, Level, Text) Name = Number,
#include "gentianlug/observe/events.def"
#undef GENTIANLUG_EVENT
};

/// Properties of a log event.
struct event_description {
  event Code;
  std::string_view Name;
  severity Level;
  std::string_view Text;
};

/// Returns all events, ordered by number.
std::span<const event_description> eventCatalogue();

/// Returns the properties of \p Code. Complexity: linear in the number of
/// events.
const event_description &describe(event Code);

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_EVENT_H
