#ifndef GENTIANLUG_CORE_TEXT_H
#define GENTIANLUG_CORE_TEXT_H

#include <string>
#include <string_view>

namespace gentianlug {

/// Cuts UTF-8 text to at most \p MaxBytes plus "..." at the end of a character.
///
/// Example: `boundText("abcdef", 3)` is "abc...".
std::string boundText(std::string_view Text, std::size_t MaxBytes);

/// Replaces every byte that is not printable ASCII by "?". For text that
/// quotes bytes of unknown origin: messages that travel as JSON must be UTF-8.
std::string printableText(std::string_view Text);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_TEXT_H
