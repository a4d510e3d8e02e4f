#include "detail/response_head_check.h"

namespace gentianlug::http1::detail {

/// Required form of version and status; `#` stands for a digit, `|` for the end
/// of the status.
static constexpr std::string_view StatusForm = "HTTP/1.# ###|";

bool response_head_check::acceptStatusByte(char Byte) {
  switch (StatusForm[StatusPosition++]) {
  case '#':
    return Byte >= '0' && Byte <= '9';
  case '|':
    AtLineStart = Byte == '\n';
    return Byte == ' ' || Byte == '\r' || Byte == '\n';
  default:
    return Byte == StatusForm[StatusPosition - 1];
  }
}

bool response_head_check::acceptFieldByte(char Byte) {
  if (AtLineStart && (Byte == ' ' || Byte == '\t'))
    return false;
  HeadEnded = AtLineStart && Byte == '\n';
  AtLineStart = Byte == '\n' || (AtLineStart && Byte == '\r');
  return true;
}

bool response_head_check::accept(std::string_view Bytes) {
  for (char Byte : Bytes) {
    if (HeadEnded)
      return true;
    bool Accepted = StatusPosition < StatusForm.size() ? acceptStatusByte(Byte)
                                                       : acceptFieldByte(Byte);
    if (!Accepted)
      return false;
  }
  return true;
}

} // namespace gentianlug::http1::detail
