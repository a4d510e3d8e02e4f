#include "gentianlug/http1/message_body.h"

#include <algorithm>
#include <utility>

namespace gentianlug::http1 {

message_body::message_body(std::string Bytes) { append(std::move(Bytes)); }

void message_body::append(std::string Part) {
  if (Part.empty())
    return;
  Size += Part.size();
  Parts.push_back(std::make_shared<const std::string>(std::move(Part)));
}

std::string message_body::str() const {
  std::string Bytes;
  Bytes.reserve(Size);
  for (const part &Part : Parts)
    Bytes += *Part;
  return Bytes;
}

void body_builder::append(std::string_view Bytes) {
  Size += Bytes.size();
  while (!Bytes.empty()) {
    std::size_t Room = MaxPartBytes - Last.size();
    std::string_view Next = Bytes.substr(0, Room);
    reserve(Last.size() + Next.size());
    Last.append(Next);
    Bytes.remove_prefix(Next.size());
    if (Last.size() == MaxPartBytes)
      Complete.append(std::exchange(Last, {}));
  }
}

/// A string that grows by itself would take up to twice the size of a part.
void body_builder::reserve(std::size_t Bytes) {
  constexpr std::size_t MaxSmallBytes = MaxPartBytes / 4;
  if (Bytes > MaxSmallBytes)
    Last.reserve(MaxPartBytes);
}

void body_builder::clear() { *this = {}; }

std::size_t body_builder::heldBytes() const {
  return Complete.size() + (Last.empty() ? 0 : Last.capacity());
}

message_body body_builder::take() {
  Complete.append(std::exchange(Last, {}));
  Size = 0;
  return std::exchange(Complete, {});
}

} // namespace gentianlug::http1
