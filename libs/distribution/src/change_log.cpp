#include "gentianlug/distribution/change_log.h"

namespace gentianlug::distribution {

change_log::change_log(std::uint64_t Epoch, std::size_t MaxChanges)
    : Epoch(Epoch), MaxChanges(MaxChanges) {}

void change_log::append(const change_key &Key, bool FromSubtree) {
  auto Previous = SequenceByKey.find(Key);
  if (Previous != SequenceByKey.end()) {
    // A change from the subtree that other root relays have not read yet must
    // not be hidden from them by a later change of the same key from upstream.
    FromSubtree = FromSubtree || Changes.at(Previous->second).FromSubtree;
    Changes.erase(Previous->second);
  }
  SequenceByKey[Key] = ++LastSequence;
  Changes[LastSequence] = {Key, FromSubtree};
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
  std::vector<logged_change> Result;
  for (auto Entry = Changes.upper_bound(Cursor.Sequence);
       Entry != Changes.end(); ++Entry)
    Result.push_back(Entry->second);
  return Result;
}

} // namespace gentianlug::distribution
