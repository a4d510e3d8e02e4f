#include "detail/json_text.h"

#include <algorithm>

namespace gentianlug::settings::detail {

std::size_t skipComment(std::string_view Text, std::size_t Offset) {
  std::string_view Marker = Text.substr(Offset, 2);
  std::size_t End = Offset;
  if (Marker == "//")
    End = Text.find('\n', Offset);
  else if (Marker == "/*") {
    End = Text.find("*/", Offset + 2);
    End = End == std::string_view::npos ? End : End + 2;
  }
  return std::min(End, Text.size());
}

std::size_t skipString(std::string_view Text, std::size_t Offset) {
  for (++Offset; Offset < Text.size() && Text[Offset] != '"'; ++Offset)
    if (Text[Offset] == '\\')
      ++Offset;
  return std::min(Offset + 1, Text.size());
}

bool exceedsNestingDepth(std::string_view Text, std::size_t MaxDepth) {
  std::size_t Depth = 0;
  for (std::size_t Offset = 0; Offset < Text.size();) {
    std::size_t CommentEnd = skipComment(Text, Offset);
    if (CommentEnd != Offset) {
      Offset = CommentEnd;
      continue;
    }
    char Char = Text[Offset];
    if (Char == '"') {
      Offset = skipString(Text, Offset);
      continue;
    }
    if ((Char == '{' || Char == '[') && ++Depth > MaxDepth)
      return true;
    if ((Char == '}' || Char == ']') && Depth > 0)
      --Depth;
    ++Offset;
  }
  return false;
}

} // namespace gentianlug::settings::detail
