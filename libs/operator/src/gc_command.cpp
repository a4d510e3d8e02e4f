#include "command_groups.h"
#include "detail/conditional_update.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/store/garbage.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"

namespace gentianlug::operator_cli {

using store::store_errc;

/// Objects are listed by the first two digits of their hashes, since one list
/// returns every value and all values together may be large.
static constexpr unsigned ListCount = 256;

static result<std::vector<store::stored_content>>
listContent(sync_store &Store) {
  std::vector<store::stored_content> Stored;
  for (unsigned Number = 0; Number < ListCount; ++Number) {
    static constexpr char Digits[] = "0123456789abcdef";
    std::string Prefix = std::string(store::ContentPrefix) +
                         Digits[Number / 16] + Digits[Number % 16];
    auto List = Store.list(Prefix);
    if (!List)
      return List.failure();
    for (const store::object &Object : List->Objects)
      Stored.push_back({Object.Key, Object.Revision});
  }
  return Stored;
}

/// Returns the keys that the kept versions refer to. A manifest that is
/// missing or malformed refers to nothing that a reader could use.
static result<std::set<std::string>> listReferences(sync_store &Store) {
  auto Head = readHead(Store);
  if (!Head)
    return Head.failure();
  std::set<std::string> Keys;
  for (const store::accepted_version &Version :
       store::knownVersions(Head->Head)) {
    std::string Key = store::contentKey(Version.ManifestHash);
    if (!Keys.insert(Key).second)
      continue;
    auto Manifest = readManifest(Store, Version.ManifestHash);
    if (!Manifest &&
        Manifest.failure().Code == make_error_code(operator_errc::PlatformDown))
      return Manifest.failure();
    if (!Manifest)
      continue;
    for (const auto &[Name, Site] : Manifest->Sites)
      for (const auto &[Part, Hash] : Site.Parts)
        Keys.insert(store::contentKey(Hash));
  }
  return Keys;
}

/// Stores the marks before anything is removed; of two collectors that run at
/// a time, one ends here.
static result<void>
storeMarks(sync_store &Store, const store::garbage_marks &Marks,
           const detail::observed_value<store::garbage_marks> &Before) {
  if (Before.Value && *Before.Value == Marks)
    return {};
  auto Written =
      Store.putIf(store::GarbageMarksKey, wire::encode(Marks), Before.Revision);
  if (Written)
    return {};
  if (hasCode(Written.failure(), store_errc::NoAnswer))
    return makeError(operator_errc::PlatformDown, Written.failure().message());
  if (hasCode(Written.failure(), store_errc::Conflict))
    return makeError(operator_errc::Refused,
                     "another collection ran at the same time");
  return Written.failure();
}

/// Removes what still has the marked revision; returns how many it removed.
static result<std::size_t>
removeObjects(sync_store &Store,
              const std::vector<store::stored_content> &Removals) {
  std::size_t Count = 0;
  for (const store::stored_content &Object : Removals) {
    auto Removed = Store.remove(Object.Key, Object.Revision);
    bool Changed =
        !Removed && (hasCode(Removed.failure(), store_errc::Conflict) ||
                     hasCode(Removed.failure(), store_errc::NotFound));
    if (!Removed && !Changed)
      return Removed.failure();
    Count += Removed ? 1 : 0;
  }
  return Count;
}

result<command_report> runGc(command_context &Context) {
  sync_store &Store = Context.Store;
  auto Before =
      detail::observe(Store, store::GarbageMarksKey, wire::decodeGarbageMarks);
  if (!Before)
    return Before.failure();
  auto Stored = listContent(Store);
  if (!Stored)
    return Stored.failure();
  // Read after the list: a version accepted in between refers to objects that
  // were rewritten, or to those of the version before it.
  auto References = listReferences(Store);
  if (!References)
    return References.failure();
  store::collection_plan Plan = store::planCollection(
      *Stored, *References, Before->Value.value_or(store::garbage_marks{}),
      Context.Driver.wallNow());
  if (auto Written = storeMarks(Store, Plan.Marks, *Before); !Written)
    return Written.failure();
  auto Removed = removeObjects(Store, Plan.Removals);
  if (!Removed)
    return Removed.failure();
  command_report Report;
  Report.add("Of " + std::to_string(Stored->size()) + " objects, " +
             std::to_string(Plan.Marks.size()) +
             " belong to no kept version; " + std::to_string(*Removed) +
             " of these were removed after an hour without use.");
  Report.ReportJson = {{"objects", Stored->size()},
                       {"unreferenced", Plan.Marks.size()},
                       {"removed", *Removed}};
  return Report;
}

} // namespace gentianlug::operator_cli
