#include "command_groups.h"
#include "detail/conditional_update.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/store/garbage.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"

namespace gentianlug::operator_cli {

using store::store_errc;

/// Number of list requests, one for each value of the first two hex digits of a
/// hash. A list returns the values too, so a single list of all objects
/// could be very large.
static constexpr unsigned HashPrefixCount = 256;

static result<std::vector<store::stored_content>>
listContentObjects(sync_store &Store) {
  std::vector<store::stored_content> Stored;
  for (unsigned HashPrefix = 0; HashPrefix < HashPrefixCount; ++HashPrefix) {
    static constexpr char Digits[] = "0123456789abcdef";
    std::string Prefix = std::string(store::ContentPrefix) +
                         Digits[HashPrefix / 16] + Digits[HashPrefix % 16];
    auto List = Store.list(Prefix);
    if (!List)
      return List.failure();
    for (const store::object &Object : List->Objects)
      Stored.push_back({Object.Key, Object.Revision});
  }
  return Stored;
}

/// Returns the keys of the objects that the retained versions reference.
/// Versions whose manifest is missing or malformed add only its key, since
/// their other objects cannot be found by any reader.
static result<std::set<std::string>> readReferencedKeys(sync_store &Store) {
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

/// Stores the marks before any object is removed. The write is conditional, so
/// that of two concurrent collections only one proceeds.
static result<void>
storeMarks(sync_store &Store, const store::garbage_marks &Marks,
           const detail::observed_value<store::garbage_marks> &Before) {
  if (Before.Value && *Before.Value == Marks)
    return {};
  auto Written =
      Store.putIf(store::GarbageMarksKey, wire::encode(Marks), Before.Revision);
  if (Written)
    return {};
  if (hasCode(Written.failure(), store_errc::NoResponse))
    return makeError(operator_errc::PlatformDown, Written.failure().message());
  if (hasCode(Written.failure(), store_errc::Conflict))
    return makeError(operator_errc::Refused,
                     "another garbage collection ran at the same time");
  return Written.failure();
}

/// Removes those of \p Removals that still have the marked revision.
///
/// \returns the number of objects removed.
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
  auto Stored = listContentObjects(Store);
  if (!Stored)
    return Stored.failure();
  // Must follow the listing: a version that is accepted in between references
  // only objects that were rewritten, which raises their revision, or objects
  // of the version before it.
  auto ReferencedKeys = readReferencedKeys(Store);
  if (!ReferencedKeys)
    return ReferencedKeys.failure();
  store::collection_plan Plan = store::planCollection(
      *Stored, *ReferencedKeys, Before->Value.value_or(store::garbage_marks{}),
      Context.Driver.wallNow());
  if (auto Written = storeMarks(Store, Plan.Marks, *Before); !Written)
    return Written.failure();
  auto Removed = removeObjects(Store, Plan.Removals);
  if (!Removed)
    return Removed.failure();
  command_report Report;
  Report.add("Of " + std::to_string(Stored->size()) + " objects, " +
             std::to_string(Plan.Marks.size()) +
             " belong to no retained version; " + std::to_string(*Removed) +
             " of these were unreferenced for an hour and were removed.");
  Report.ReportJson = {{"objects", Stored->size()},
                       {"unreferenced", Plan.Marks.size()},
                       {"removed", *Removed}};
  return Report;
}

} // namespace gentianlug::operator_cli
