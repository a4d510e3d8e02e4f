#include "gentianlug/settings/position_index.h"

#include "detail/json_text.h"
#include "gentianlug/settings/json_file.h"

#include <nlohmann/json.hpp>

namespace gentianlug::settings {

/// Scans the tokens of a document and records the lines of keys and array
/// elements.
class position_scanner {
public:
  position_scanner(std::string_view Text, position_index &Index)
      : Text(Text), Index(Index) {}

  void scan() {
    while (Offset < Text.size() && OpenContainers.size() <= MaxNestingDepth)
      scanToken();
  }

private:
  struct container_state {
    bool IsArray = false;
    bool ExpectsKey = false;
    std::size_t ElementIndex = 0;
    std::size_t PathLength = 0;
  };

  void scanToken() {
    std::size_t CommentEnd = detail::skipComment(Text, Offset);
    if (CommentEnd != Offset)
      return advanceTo(CommentEnd);
    switch (Text[Offset]) {
    case '\n':
    case ' ':
    case '\t':
    case '\r':
    case ':':
      return advanceTo(Offset + 1);
    case '{':
    case '[':
      return openContainer(Text[Offset] == '[');
    case '}':
    case ']':
      return closeContainer();
    case ',':
      return scanComma();
    case '"':
      return scanString();
    default:
      return scanScalar();
    }
  }

  void advanceTo(std::size_t End) {
    for (; Offset < End && Offset < Text.size(); ++Offset)
      Line += Text[Offset] == '\n';
  }

  void recordPosition() {
    if (!Index.Lines.emplace(Path, Line).second)
      Index.DuplicateKeys.push_back(Path);
  }

  /// Records the position of a value that is an array element. The position of
  /// an object member is recorded at its key.
  void beginArrayElement() {
    if (OpenContainers.empty() || !OpenContainers.back().IsArray)
      return;
    Path.resize(OpenContainers.back().PathLength);
    Path += "[" + std::to_string(OpenContainers.back().ElementIndex) + "]";
    recordPosition();
  }

  void openContainer(bool IsArray) {
    beginArrayElement();
    OpenContainers.push_back({IsArray, !IsArray, 0, Path.size()});
    advanceTo(Offset + 1);
  }

  void closeContainer() {
    if (!OpenContainers.empty()) {
      Path.resize(OpenContainers.back().PathLength);
      OpenContainers.pop_back();
    }
    advanceTo(Offset + 1);
  }

  void scanComma() {
    if (!OpenContainers.empty()) {
      ++OpenContainers.back().ElementIndex;
      OpenContainers.back().ExpectsKey = !OpenContainers.back().IsArray;
    }
    advanceTo(Offset + 1);
  }

  void scanString() {
    std::size_t End = detail::skipString(Text, Offset);
    if (OpenContainers.empty() || !OpenContainers.back().ExpectsKey)
      beginArrayElement();
    else
      scanKey(Text.substr(Offset, End - Offset));
    advanceTo(End);
  }

  void scanKey(std::string_view Token) {
    auto Key = nlohmann::json::parse(Token, nullptr, false);
    OpenContainers.back().ExpectsKey = false;
    if (!Key.is_string())
      return;
    Path.resize(OpenContainers.back().PathLength);
    Path += (Path.empty() ? "" : ".") + Key.get<std::string>();
    recordPosition();
  }

  void scanScalar() {
    beginArrayElement();
    std::size_t End = Text.find_first_of(",]}\n\r\t /", Offset);
    advanceTo(End == Offset || End == std::string_view::npos ? Offset + 1
                                                             : End);
  }

  std::string_view Text;
  position_index &Index;
  std::size_t Offset = 0;
  std::uint32_t Line = 1;
  std::string Path;
  std::vector<container_state> OpenContainers;
};

position_index::position_index(std::string_view Text) {
  position_scanner(Text, *this).scan();
}

std::optional<std::uint32_t>
position_index::lineOf(const std::string &Path) const {
  auto Entry = Lines.find(Path);
  if (Entry == Lines.end())
    return std::nullopt;
  return Entry->second;
}

std::uint32_t position_index::nearestLine(std::string Path) const {
  while (!Path.empty()) {
    if (auto Line = lineOf(Path))
      return *Line;
    auto Separator = Path.find_last_of(".[");
    Path.resize(Separator == std::string::npos ? 0 : Separator);
  }
  return 1;
}

} // namespace gentianlug::settings
