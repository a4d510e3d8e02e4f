#ifndef GENTIANLUG_HTTP1_DETAIL_STATUS_LINE_H
#define GENTIANLUG_HTTP1_DETAIL_STATUS_LINE_H

#include <cstddef>
#include <string_view>

namespace gentianlug::http1::detail {

/// Checks the protocol version and the status of a response, which http_parser
/// also accepts in forms that are no HTTP/1.x: other versions, more or fewer
/// than three digits, empty lines and several spaces.
class status_line_check {
public:
  /// Checks the next bytes of a response. Bytes after the status are ignored.
  ///
  /// \returns whether the bytes so far can begin a response.
  bool accept(std::string_view Bytes);

private:
  bool acceptByte(char Byte) const;

  std::size_t Position = 0;
};

/// Returns whether \p Status is one that HTTP defines a class for.
bool isValidStatus(unsigned Status);
bool isInterimStatus(unsigned Status);

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_STATUS_LINE_H
