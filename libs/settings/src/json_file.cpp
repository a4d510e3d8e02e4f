#include "gentianlug/settings/json_file.h"

#include "detail/json_text.h"
#include "gentianlug/core/error_table.h"
#include "gentianlug/core/text.h"
#include "gentianlug/settings/settings_errc.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace gentianlug::settings {

/// Maximum length of a parser message in bytes. The parser quotes the input, so
/// its messages can be as long as the document.
static constexpr std::size_t MaxParserMessageBytes = 300;

static constexpr error_text SettingsErrorMessages[] = {
    {int(settings_errc::UnreadableFile), "file cannot be read"},
    {int(settings_errc::MalformedJson), "malformed JSON"},
    {int(settings_errc::InvalidField), "invalid settings"},
};

std::error_code make_error_code(settings_errc Code) {
  static const error_table Category("settings", SettingsErrorMessages);
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

bool exceedsNestingDepth(std::string_view Text, std::size_t MaxDepth) {
  return detail::exceedsNestingDepth(Text, MaxDepth);
}

result<nlohmann::json> parseJson(std::string_view Text,
                                 const std::string &Path) {
  if (detail::exceedsNestingDepth(Text, MaxNestingDepth))
    return makeError(settings_errc::MalformedJson,
                     Path + ": nested more than " +
                         std::to_string(MaxNestingDepth) + " levels deep");
  // The parser reports the position and reason only through its exception.
  try {
    return nlohmann::json::parse(Text, nullptr, true, true);
    // Catch the base class: an out-of-range number is not reported as a
    // parse_error.
  } catch (const nlohmann::json::exception &Failure) {
    return makeError(settings_errc::MalformedJson,
                     Path + ": " +
                         truncateText(replaceNonPrintable(Failure.what()),
                                      MaxParserMessageBytes));
  }
}

} // namespace gentianlug::settings
