#include "gentianlug/net/http_syntax.h"

namespace gentianlug::net {

bool isFieldNamePart(std::string_view Text) {
  constexpr std::string_view TokenCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
      "!#$%&'*+-.^_`|~";
  return Text.find_first_not_of(TokenCharacters) == std::string_view::npos;
}

bool isValidStatus(int Status) { return Status >= 100 && Status <= 599; }

bool isInterimStatus(int Status) { return Status >= 100 && Status <= 199; }

} // namespace gentianlug::net
