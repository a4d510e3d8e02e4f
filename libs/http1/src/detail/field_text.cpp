#include "detail/field_text.h"

#include <utility>

namespace gentianlug::http1::detail {

static constexpr char Separator = '\n';

void field_text::appendToName(std::string_view Bytes) {
  if (Last == part::Value)
    Text += Separator;
  if (Last != part::Name)
    ++Count;
  Last = part::Name;
  Text += Bytes;
}

void field_text::appendToValue(std::string_view Bytes) {
  if (Last == part::Name)
    Text += Separator;
  Last = part::Value;
  Text += Bytes;
}

/// Removes the text up to the next separator from \p Rest and returns it.
static std::string_view takePart(std::string_view &Rest) {
  std::size_t End = std::min(Rest.find(Separator), Rest.size());
  std::string_view Part = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Part;
}

/// Calls \p Visit with the name and value of each field until it returns false.
template <class Visitor> void field_text::visit(Visitor Visit) const {
  std::string_view Rest = Text;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::string_view Name = takePart(Rest);
    std::string_view Value = takePart(Rest);
    if (!Visit(Name, Value))
      return;
  }
}

std::optional<std::string_view> field_text::find(std::string_view Name) const {
  std::optional<std::string_view> Found;
  visit([&](std::string_view FieldName, std::string_view Value) {
    if (equalIgnoringCase(FieldName, Name))
      Found = Value;
    return !Found;
  });
  return Found;
}

header_list field_text::takeHeaders() {
  header_list Headers;
  Headers.reserve(Count);
  visit([&](std::string_view Name, std::string_view Value) {
    Headers.add(std::string(Name), std::string(Value));
    return true;
  });
  *this = {};
  return Headers;
}

} // namespace gentianlug::http1::detail
