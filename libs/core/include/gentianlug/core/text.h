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

/// Returns whether \p Text is valid UTF-8. Other text cannot be encoded as
/// JSON.
bool isValidUtf8(std::string_view Text);

/// Replaces each byte of \p Text that is not part of valid UTF-8 with U+FFFD.
std::string replaceInvalidUtf8(std::string_view Text);

/// Returns whether \p Text is valid UTF-8 without control characters and
/// without U+FFFD, which stands for bytes that could not be read.
bool isReadableText(std::string_view Text);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_TEXT_H
