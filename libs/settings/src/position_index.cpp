#include "gentianlug/settings/position_index.h"

#include "detail/json_text.h"
#include "gentianlug/settings/json_file.h"

#include <nlohmann/json.hpp>

namespace gentianlug::settings {

/// Walks over the tokens of a document and records where values start.
class position_scanner {
public:
  position_scanner(std::string_view Text, position_index &Index)
      : Text(Text), Index(Index) {}

  void run() {
    while (At < Text.size() && Open.size() <= MaxNesting)
      step();
  }

private:
  struct container {
    bool IsArray = false;
    bool ExpectsKey = false;
    std::size_t NextElement = 0;
    std::size_t PathLength = 0;
  };

  void step() {
    std::size_t After = detail::skipComment(Text, At);
    if (After != At)
      return moveTo(After);
    switch (Text[At]) {
    case '\n':
    case ' ':
    case '\t':
    case '\r':
    case ':':
      return moveTo(At + 1);
    case '{':
    case '[':
      return open(Text[At] == '[');
    case '}':
    case ']':
      return close();
    case ',':
      return nextMember();
    case '"':
      return string();
    default:
      return scalar();
    }
  }

  void moveTo(std::size_t End) {
    for (; At < End && At < Text.size(); ++At)
      Line += Text[At] == '\n';
  }

  void record() {
    if (!Index.Lines.emplace(Path, Line).second)
      Index.Duplicates.push_back(Path);
  }

  /// Gives an array element its path; members have theirs from the key.
  void beginValue() {
    if (Open.empty() || !Open.back().IsArray)
      return;
    Path.resize(Open.back().PathLength);
    Path += "[" + std::to_string(Open.back().NextElement) + "]";
    record();
  }

  void open(bool IsArray) {
    beginValue();
    Open.push_back({IsArray, !IsArray, 0, Path.size()});
    moveTo(At + 1);
  }

  void close() {
    if (!Open.empty()) {
      Path.resize(Open.back().PathLength);
      Open.pop_back();
    }
    moveTo(At + 1);
  }

  void nextMember() {
    if (!Open.empty()) {
      ++Open.back().NextElement;
      Open.back().ExpectsKey = !Open.back().IsArray;
    }
    moveTo(At + 1);
  }

  void string() {
    std::size_t End = detail::skipString(Text, At);
    if (Open.empty() || !Open.back().ExpectsKey)
      beginValue();
    else
      key(Text.substr(At, End - At));
    moveTo(End);
  }

  void key(std::string_view Token) {
    auto Key = nlohmann::json::parse(Token, nullptr, false);
    Open.back().ExpectsKey = false;
    if (!Key.is_string())
      return;
    Path.resize(Open.back().PathLength);
    Path += (Path.empty() ? "" : ".") + Key.get<std::string>();
    record();
  }

  void scalar() {
    beginValue();
    std::size_t End = Text.find_first_of(",]}\n\r\t /", At);
    moveTo(End == At || End == std::string_view::npos ? At + 1 : End);
  }

  std::string_view Text;
  position_index &Index;
  std::size_t At = 0;
  std::uint32_t Line = 1;
  std::string Path;
  std::vector<container> Open;
};

position_index::position_index(std::string_view Text) {
  position_scanner(Text, *this).run();
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
    auto Cut = Path.find_last_of(".[");
    Path.resize(Cut == std::string::npos ? 0 : Cut);
  }
  return 1;
}

} // namespace gentianlug::settings
