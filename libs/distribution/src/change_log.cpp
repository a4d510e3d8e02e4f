#include "gentianlug/distribution/change_log.h"

namespace gentianlug::distribution {

change_log::change_log(std::uint64_t Epoch, std::size_t Bound)
    : Epoch(Epoch), MaxChanges(Bound) {}

void change_log::append(const change_key &Key, bool FromBelow) {
  auto Known = SequenceByKey.find(Key);
  if (Known != SequenceByKey.end()) {
    // A change from below that is still unread must not be hidden from other
    // root relays by the same change from above.
    FromBelow = FromBelow || Changes.at(Known->second).FromSubtree;
    Changes.erase(Known->second);
  }
  SequenceByKey[Key] = ++LastSequence;
  Changes[LastSequence] = {Key, FromBelow};
  if (Changes.size() <= MaxChanges)
    return;
  LastDroppedSequence = Changes.begin()->first;
  SequenceByKey.erase(Changes.begin()->second.Key);
  Changes.erase(Changes.begin());
}

std::optional<std::vector<logged_change>>
change_log::changesSince(log_cursor Cursor) const {
  if (Cursor.Epoch != Epoch || Cursor.Sequence < LastDroppedSequence ||
      Cursor.Sequence > LastSequence)
    return std::nullopt;
  std::vector<logged_change> News;
  for (auto Entry = Changes.upper_bound(Cursor.Sequence);
       Entry != Changes.end(); ++Entry)
    News.push_back(Entry->second);
  return News;
}

} // namespace gentianlug::distribution
