#ifndef GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H
#define GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H

#include <cstddef>
#include <string_view>

namespace gentianlug::settings::detail {

/// Returns the position after the comment that starts at \p At, or \p At when
/// none starts there. A comment without end reaches to the end of the text.
std::size_t skipComment(std::string_view Text, std::size_t At);

/// Returns the position after the string that starts at \p At.
std::size_t skipString(std::string_view Text, std::size_t At);

/// Returns whether containers are nested more than \p Limit deep.
bool nestsDeeperThan(std::string_view Text, std::size_t Limit);

} // namespace gentianlug::settings::detail

#endif // GENTIANLUG_SETTINGS_DETAIL_JSON_TEXT_H
