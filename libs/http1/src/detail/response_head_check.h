#ifndef GENTIANLUG_HTTP1_DETAIL_RESPONSE_HEAD_CHECK_H
#define GENTIANLUG_HTTP1_DETAIL_RESPONSE_HEAD_CHECK_H

#include <cstddef>
#include <string_view>

namespace gentianlug::http1::detail {

/// Checks what http_parser accepts in the head of a response although it is no
/// HTTP/1.x: other versions, more or fewer than three digits in the status,
/// empty lines before it, several spaces, and lines that continue the one
/// before.
class response_head_check {
public:
  /// Checks the next bytes of a response. Bytes after the head are ignored.
  ///
  /// \returns whether the bytes so far can begin a response.
  bool accept(std::string_view Bytes);

private:
  bool acceptStatusByte(char Byte);
  bool acceptFieldByte(char Byte);

  std::size_t StatusPosition = 0;
  bool AtLineStart = false;
  bool HeadEnded = false;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_RESPONSE_HEAD_CHECK_H
