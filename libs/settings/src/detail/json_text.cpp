#include "detail/json_text.h"

#include <algorithm>

namespace gentianlug::settings::detail {

std::size_t skipComment(std::string_view Text, std::size_t At) {
  std::string_view Start = Text.substr(At, 2);
  std::size_t End = At;
  if (Start == "//")
    End = Text.find('\n', At);
  else if (Start == "/*") {
    End = Text.find("*/", At + 2);
    End = End == std::string_view::npos ? End : End + 2;
  }
  return std::min(End, Text.size());
}

std::size_t skipString(std::string_view Text, std::size_t At) {
  for (++At; At < Text.size() && Text[At] != '"'; ++At)
    if (Text[At] == '\\')
      ++At;
  return std::min(At + 1, Text.size());
}

bool nestsDeeperThan(std::string_view Text, std::size_t Limit) {
  std::size_t Depth = 0;
  for (std::size_t At = 0; At < Text.size();) {
    std::size_t After = skipComment(Text, At);
    if (After != At) {
      At = After;
      continue;
    }
    char Char = Text[At];
    if (Char == '"') {
      At = skipString(Text, At);
      continue;
    }
    if ((Char == '{' || Char == '[') && ++Depth > Limit)
      return true;
    if ((Char == '}' || Char == ']') && Depth > 0)
      --Depth;
    ++At;
  }
  return false;
}

} // namespace gentianlug::settings::detail
