#include "gentianlug/distribution/change_log.h"

namespace gentianlug::distribution {

change_log::change_log(std::uint64_t Epoch, std::size_t Bound)
    : Epoch(Epoch), Bound(Bound) {}

void change_log::append(const change_key &Key, bool FromBelow) {
  auto Known = Numbers.find(Key);
  if (Known != Numbers.end()) {
    // A change from below that is still unread must not be hidden from other
    // root relays by the same change from above.
    FromBelow = FromBelow || Changes.at(Known->second).FromBelow;
    Changes.erase(Known->second);
  }
  Numbers[Key] = ++LastNumber;
  Changes[LastNumber] = {Key, FromBelow};
  if (Changes.size() <= Bound)
    return;
  Dropped = Changes.begin()->first;
  Numbers.erase(Changes.begin()->second.Key);
  Changes.erase(Changes.begin());
}

std::optional<std::vector<logged_change>>
change_log::since(log_cursor Cursor) const {
  if (Cursor.Epoch != Epoch || Cursor.Number < Dropped ||
      Cursor.Number > LastNumber)
    return std::nullopt;
  std::vector<logged_change> News;
  for (auto Entry = Changes.upper_bound(Cursor.Number); Entry != Changes.end();
       ++Entry)
    News.push_back(Entry->second);
  return News;
}

} // namespace gentianlug::distribution
