#ifndef GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H
#define GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H

#include <cstddef>
#include <string_view>

namespace gentianlug::settings::detail {

/// Returns the offset after the comment that starts at \p Offset, or \p Offset
/// if no comment starts there. An unterminated comment extends to the end of
/// the text.
std::size_t skipComment(std::string_view Text, std::size_t Offset);

/// Returns the offset after the string literal that starts at \p Offset. An
/// unterminated literal extends to the end of the text.
std::size_t skipString(std::string_view Text, std::size_t Offset);

/// Returns whether arrays and objects are nested deeper than \p MaxDepth.
bool exceedsNestingDepth(std::string_view Text, std::size_t MaxDepth);

} // namespace gentianlug::settings::detail

#endif // GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H
