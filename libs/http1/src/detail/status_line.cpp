#include "detail/status_line.h"

namespace gentianlug::http1::detail {

/// Required form; `#` stands for a digit, `|` for the end of the status.
static constexpr std::string_view Form = "HTTP/1.# ###|";

bool status_line_check::acceptByte(char Byte) const {
  switch (Form[Position]) {
  case '#':
    return Byte >= '0' && Byte <= '9';
  case '|':
    return Byte == ' ' || Byte == '\r' || Byte == '\n';
  default:
    return Byte == Form[Position];
  }
}

bool status_line_check::accept(std::string_view Bytes) {
  for (char Byte : Bytes) {
    if (Position == Form.size())
      return true;
    if (!acceptByte(Byte))
      return false;
    ++Position;
  }
  return true;
}

bool isValidStatus(unsigned Status) { return Status >= 100 && Status <= 599; }

bool isInterimStatus(unsigned Status) { return Status < 200; }

} // namespace gentianlug::http1::detail
