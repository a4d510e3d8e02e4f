#ifndef GENTIANLUG_SETTINGS_JSON_FILE_H
#define GENTIANLUG_SETTINGS_JSON_FILE_H

#include "gentianlug/core/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace gentianlug::settings {

/// Largest settings or configuration file that is read, in bytes.
inline constexpr std::size_t MaxFileBytes = 8 << 20;

/// Deepest nesting of containers that is parsed. Copying a document recurses
/// once per level, so unbounded nesting would overflow the stack.
inline constexpr std::size_t MaxNesting = 64;

/// Reads a whole file.
///
/// \returns the text, or `settings_errc::UnreadableFile` with path and reason.
result<std::string> readFile(const std::string &Path);

/// Parses JSON with comments.
///
/// \param Text the document; `//` and `/* */` comments are skipped.
/// \param Path name of the source, for error messages only.
/// \returns the document, or `settings_errc::MalformedJson`.
result<nlohmann::json> parseJson(std::string_view Text,
                                 const std::string &Path);

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_JSON_FILE_H
