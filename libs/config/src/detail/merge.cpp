#include "detail/merge.h"

#include "detail/json_model.h"

namespace gentianlug::config::detail {

using nlohmann::json;

namespace {

/// Merges one overlay into the base and collects faults.
class overlay_merger {
public:
  overlay_merger(const source_document &Base, const source_document &Overlay,
                 std::vector<compile_fault> &Faults)
      : Base(Base), Overlay(Overlay), Faults(Faults) {}

  json merge() {
    json Merged = Base.json();
    for (const auto &Item : Overlay.json().items()) {
      const std::string &Key = Item.key();
      auto Target = Merged.find(Key);
      bool IsNamedList = entryNameKey(Key) && Item.value().is_array();
      if (IsNamedList && (Target == Merged.end() || Target->is_array()))
        Merged[Key] =
            mergeList(Key, Target == Merged.end() ? json::array() : *Target);
      else if (Target == Merged.end())
        Merged[Key] = Item.value();
      else
        mergeValue(*Target, Item.value(), Key);
    }
    return Merged;
  }

private:
  void addFault(const std::string &Path, const std::string &Reason) {
    Faults.push_back({Overlay.path(), Overlay.nearestLine(Path), Path, Reason});
  }

  static const char *typeName(const json &Value) {
    if (Value.is_object())
      return "an object";
    if (Value.is_array())
      return "a list";
    if (Value.is_number())
      return "a number";
    if (Value.is_string())
      return "a string";
    return Value.is_boolean() ? "true or false" : "null";
  }

  void mergeValue(json &Target, const json &Change, const std::string &Path) {
    if (std::string_view(typeName(Target)) != typeName(Change))
      return addFault(Path, std::string("is ") + typeName(Change) +
                                ", but the base has " + typeName(Target));
    if (!Change.is_object()) {
      Target = Change;
      return;
    }
    for (const auto &Item : Change.items()) {
      auto Existing = Target.find(Item.key());
      if (Existing == Target.end())
        Target[Item.key()] = Item.value();
      else
        mergeValue(*Existing, Item.value(), Path + "." + Item.key());
    }
  }

  /// Removes the "remove" flag from an entry and returns its value.
  bool extractRemoveFlag(json &Entry, const std::string &Path) {
    auto Flag = Entry.find("remove");
    if (Flag == Entry.end())
      return false;
    if (!Flag->is_boolean())
      addFault(Path + ".remove", "must be true or false");
    bool Removed = *Flag == json(true);
    Entry.erase(Flag);
    return Removed;
  }

  json mergeList(const std::string &Section, json List) {
    const char *Key = entryNameKey(Section);
    const entry_index &BaseEntries = Base.entryIndex(Section);
    std::vector<bool> Removed(List.size(), false);
    for (json Entry : Overlay.json()[Section]) {
      std::string Name = Entry[Key].get<std::string>();
      std::string Path = Section;
      Path.append(".").append(Name);
      bool Remove = extractRemoveFlag(Entry, Path);
      auto BaseEntry = BaseEntries.find(Name);
      if (BaseEntry != BaseEntries.end() && Remove)
        Removed[BaseEntry->second] = true;
      else if (BaseEntry != BaseEntries.end())
        mergeValue(List[BaseEntry->second], Entry, Path);
      else if (Remove)
        addFault(Path, "removes an entry that the base does not have");
      else
        List.push_back(std::move(Entry));
    }
    return eraseRemoved(std::move(List), Removed);
  }

  static json eraseRemoved(json List, const std::vector<bool> &Removed) {
    json Remaining = json::array();
    for (std::size_t Index = 0; Index < List.size(); ++Index)
      if (Index >= Removed.size() || !Removed[Index])
        Remaining.push_back(std::move(List[Index]));
    return Remaining;
  }

  const source_document &Base;
  const source_document &Overlay;
  std::vector<compile_fault> &Faults;
};

} // namespace

json mergeDocuments(const source_document &Base, const source_document &Overlay,
                    std::vector<compile_fault> &Faults) {
  return overlay_merger(Base, Overlay, Faults).merge();
}

} // namespace gentianlug::config::detail
