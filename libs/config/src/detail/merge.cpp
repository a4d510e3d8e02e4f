#include "detail/merge.h"

#include "detail/json_model.h"

namespace gentianlug::config::detail {

using nlohmann::json;

namespace {

/// Merges one overlay and collects what does not fit.
class merger {
public:
  merger(const source_document &Base, const source_document &Overlay,
         std::vector<compile_fault> &Faults)
      : Base(Base), Overlay(Overlay), Faults(Faults) {}

  json run() {
    json Merged = Base.json();
    for (const auto &Item : Overlay.json().items()) {
      const std::string &Key = Item.key();
      auto Target = Merged.find(Key);
      bool Lists = entryKey(Key) && Item.value().is_array();
      if (Lists && (Target == Merged.end() || Target->is_array()))
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
  void fault(const std::string &Path, const std::string &Reason) {
    Faults.push_back({Overlay.path(), Overlay.nearestLine(Path), Path, Reason});
  }

  static const char *kindOf(const json &Value) {
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
    if (std::string_view(kindOf(Target)) != kindOf(Change))
      return fault(Path, std::string("is ") + kindOf(Change) +
                             ", but the base has " + kindOf(Target));
    if (!Change.is_object()) {
      Target = Change;
      return;
    }
    for (const auto &Item : Change.items()) {
      auto Old = Target.find(Item.key());
      if (Old == Target.end())
        Target[Item.key()] = Item.value();
      else
        mergeValue(*Old, Item.value(), Path + "." + Item.key());
    }
  }

  /// Reads and strips the mark of an entry that is to be removed.
  bool takeRemoval(json &Entry, const std::string &Path) {
    auto Mark = Entry.find("remove");
    if (Mark == Entry.end())
      return false;
    if (!Mark->is_boolean())
      fault(Path + ".remove", "must be true or false");
    bool Removed = *Mark == json(true);
    Entry.erase(Mark);
    return Removed;
  }

  json mergeList(const std::string &Section, json List) {
    const char *Key = entryKey(Section);
    const entry_index &Places = Base.entries(Section);
    std::vector<bool> Removed(List.size(), false);
    for (json Entry : Overlay.json()[Section]) {
      std::string Name = Entry[Key].get<std::string>();
      std::string Path = Section;
      Path.append(".").append(Name);
      bool Remove = takeRemoval(Entry, Path);
      auto Place = Places.find(Name);
      if (Place != Places.end() && Remove)
        Removed[Place->second] = true;
      else if (Place != Places.end())
        mergeValue(List[Place->second], Entry, Path);
      else if (Remove)
        fault(Path, "removes an entry that the base does not have");
      else
        List.push_back(std::move(Entry));
    }
    return withoutRemoved(std::move(List), Removed);
  }

  static json withoutRemoved(json List, const std::vector<bool> &Removed) {
    json Kept = json::array();
    for (std::size_t Index = 0; Index < List.size(); ++Index)
      if (Index >= Removed.size() || !Removed[Index])
        Kept.push_back(std::move(List[Index]));
    return Kept;
  }

  const source_document &Base;
  const source_document &Overlay;
  std::vector<compile_fault> &Faults;
};

} // namespace

json mergeDocuments(const source_document &Base, const source_document &Overlay,
                    std::vector<compile_fault> &Faults) {
  return merger(Base, Overlay, Faults).run();
}

} // namespace gentianlug::config::detail
