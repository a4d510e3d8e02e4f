#include "platform_store.h"

#include <algorithm>

namespace gentianlug::standins {

using store::store_errc;

result<store::object> platform_store::get(const std::string &Key) const {
  auto Entry = Objects.find(Key);
  if (Entry == Objects.end())
    return makeError(store_errc::NotFound, Key);
  return Entry->second;
}

object_revision platform_store::appendChange(const std::string &Key,
                                             std::optional<std::string> Value) {
  ChangeLog.push_back({Key, std::move(Value), ++Revision});
  if (ChangeLog.size() > MaxRetainedChanges)
    ChangeLog.pop_front();
  return Revision;
}

result<object_revision>
platform_store::put(const std::string &Key, std::string Value,
                    std::optional<object_revision> Expected) {
  if (Value.size() > store::MaxValueBytes)
    return makeError(store_errc::TooLarge, Key);
  auto Entry = Objects.find(Key);
  object_revision Current = Entry == Objects.end() ? 0 : Entry->second.Revision;
  if (Expected && *Expected != Current)
    return makeError(store_errc::Conflict, Key);
  object_revision Written = appendChange(Key, Value);
  Objects[Key] = {Key, std::move(Value), Written};
  return Written;
}

result<object_revision> platform_store::remove(const std::string &Key,
                                               object_revision Expected) {
  auto Entry = Objects.find(Key);
  if (Entry == Objects.end())
    return makeError(store_errc::NotFound, Key);
  if (Entry->second.Revision != Expected)
    return makeError(store_errc::Conflict, Key);
  Objects.erase(Entry);
  return appendChange(Key, std::nullopt);
}

store::object_list platform_store::list(const std::string &Prefix) const {
  store::object_list List;
  for (auto Entry = Objects.lower_bound(Prefix);
       Entry != Objects.end() && Entry->first.starts_with(Prefix); ++Entry)
    List.Objects.push_back(Entry->second);
  List.Revision = Revision;
  return List;
}

result<store::change_batch>
platform_store::changes(const std::string &Prefix,
                        object_revision After) const {
  if (!ChangeLog.empty() && After + 1 < ChangeLog.front().Revision)
    return makeError(store_errc::TooOld, Prefix);
  store::change_batch Batch;
  Batch.Revision = Revision;
  auto First = std::upper_bound(
      ChangeLog.begin(), ChangeLog.end(), After,
      [](object_revision Revision, const store::object_change &Change) {
        return Revision < Change.Revision;
      });
  for (; First != ChangeLog.end(); ++First)
    if (First->Key.starts_with(Prefix))
      Batch.Changes.push_back(*First);
  return Batch;
}

} // namespace gentianlug::standins
