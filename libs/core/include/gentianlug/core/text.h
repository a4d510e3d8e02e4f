#ifndef GENTIANLUG_CORE_TEXT_H
#define GENTIANLUG_CORE_TEXT_H

#include <string>
#include <string_view>

namespace gentianlug {

/// Truncates UTF-8 text to at most \p MaxBytes at a character boundary and
/// appends "...". Text that fits is returned unchanged.
///
/// Example: `truncateText("abcdef", 3)` is "abc...".
std::string truncateText(std::string_view Text, std::size_t MaxBytes);

/// Replaces every byte that is not printable ASCII with "?". For messages that
/// quote untrusted bytes, because messages sent as JSON must be valid UTF-8.
std::string replaceNonPrintable(std::string_view Text);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_TEXT_H
