#ifndef GENTIANLUG_HTTP1_DETAIL_FIELD_TEXT_H
#define GENTIANLUG_HTTP1_DETAIL_FIELD_TEXT_H

#include "gentianlug/http1/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianlug::http1::detail {

/// Header fields of a message that is being received, as one text.
///
/// A list of fields takes up to 16 times as many bytes as short lines on the
/// connection, so it is built only when the message is complete.
class field_text {
public:
  /// Appends to the name of the current field, or begins the next one if the
  /// current one has a value. \p Bytes must not contain line breaks.
  void appendToName(std::string_view Bytes);
  /// The same for the value of the current field; it may be empty.
  void appendToValue(std::string_view Bytes);

  /// Returns the value of the first field named \p Name. Complexity: linear.
  std::optional<std::string_view> find(std::string_view Name) const;
  /// Moves the fields out as a list.
  header_list takeHeaders();
  std::size_t heldBytes() const { return Text.capacity(); }

private:
  enum class part { None, Name, Value };

  template <class Visitor> void visit(Visitor Visit) const;

  /// Names and values in turns, separated by line breaks.
  std::string Text;
  std::size_t Count = 0;
  part Last = part::None;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_FIELD_TEXT_H
