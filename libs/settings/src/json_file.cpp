#include "gentianlug/settings/json_file.h"

#include "detail/json_text.h"
#include "gentianlug/core/error_table.h"
#include "gentianlug/core/text.h"
#include "gentianlug/settings/settings_errc.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace gentianlug::settings {

/// Bound of the parser's message, which quotes the text that it read.
static constexpr std::size_t MaxReasonBytes = 300;

static constexpr error_text SettingsTexts[] = {
    {int(settings_errc::UnreadableFile), "file cannot be read"},
    {int(settings_errc::MalformedJson), "malformed JSON"},
    {int(settings_errc::BadField), "invalid settings"},
};

std::error_code make_error_code(settings_errc Code) {
  static const error_table Category("settings", SettingsTexts);
  return {int(Code), Category};
}

result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeError(settings_errc::UnreadableFile,
                     Path + ": " + std::strerror(errno));
  std::string Text(MaxFileBytes + 1, '\0');
  File.read(Text.data(), std::streamsize(Text.size()));
  if (File.bad())
    return makeError(settings_errc::UnreadableFile, Path + ": read failed");
  Text.resize(std::size_t(File.gcount()));
  if (Text.size() > MaxFileBytes)
    return makeError(settings_errc::UnreadableFile,
                     Path + ": larger than " + std::to_string(MaxFileBytes) +
                         " bytes");
  return Text;
}

result<nlohmann::json> parseJson(std::string_view Text,
                                 const std::string &Path) {
  if (detail::nestsDeeperThan(Text, MaxNesting))
    return makeError(settings_errc::MalformedJson,
                     Path + ": nested more than " + std::to_string(MaxNesting) +
                         " levels deep");
  // The parser reports position and reason only through its exception.
  try {
    return nlohmann::json::parse(Text, nullptr, true, true);
    // A number out of range is an error of another class than a syntax error.
  } catch (const nlohmann::json::exception &Failure) {
    return makeError(
        settings_errc::MalformedJson,
        Path + ": " + boundText(printableText(Failure.what()), MaxReasonBytes));
  }
}

} // namespace gentianlug::settings
