#ifndef GENTIANLUG_SETTINGS_JSON_FILE_H
#define GENTIANLUG_SETTINGS_JSON_FILE_H

#include "gentianlug/core/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace gentianlug::settings {

/// Maximum size of a settings or configuration file in bytes.
inline constexpr std::size_t MaxFileBytes = 8 << 20;

/// Maximum nesting depth of arrays and objects. Copying a document recurses
/// once per level, so unbounded nesting could overflow the stack.
inline constexpr std::size_t MaxNestingDepth = 64;

/// Returns whether arrays and objects of the JSON document \p Text are nested
/// more than \p MaxDepth levels deep. Complexity: linear, without recursion.
bool exceedsNestingDepth(std::string_view Text, std::size_t MaxDepth);

/// Reads a file of at most `MaxFileBytes`.
///
/// \returns the content, or `settings_errc::UnreadableFile` with path and
/// reason.
result<std::string> readFile(const std::string &Path);

/// Parses JSON with comments.
///
/// \param Text the document; `//` and `/* */` comments are ignored.
/// \param Path name of the source, used in error messages only.
/// \returns the document, or `settings_errc::MalformedJson`.
result<nlohmann::json> parseJson(std::string_view Text,
                                 const std::string &Path);

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_JSON_FILE_H
