#include "detail/source_document.h"

#include "detail/json_model.h"
#include "gentianlug/settings/json_file.h"

namespace gentianlug::config::detail {

source_document::source_document(const source_file &File,
                                 std::vector<compile_fault> &Faults)
    : Path(File.Path), Positions(File.Text) {
  auto Parsed = settings::parseJson(File.Text, File.Path);
  if (!Parsed) {
    // The detail starts with the path, which the fault already contains.
    std::string Reason = Parsed.failure().Detail.substr(Path.size() + 2);
    Faults.push_back({Path, 1, "", "malformed JSON: " + Reason});
    return;
  }
  if (!Parsed->is_object()) {
    Faults.push_back({Path, 1, "", "must be an object"});
    return;
  }
  Json = std::move(*Parsed);
  for (const std::string &Duplicate : Positions.duplicateKeys())
    Faults.push_back({Path, Positions.nearestLine(Duplicate), Duplicate,
                      "is given twice in one object"});
  normalizeLists(Faults);
}

void source_document::normalizeLists(std::vector<compile_fault> &Faults) {
  for (auto &Item : Json.items())
    if (entryNameKey(Item.key()) && Item.value().is_array())
      normalizeList(Item.key(), Item.value(), Faults);
}

/// Removes entries without a name or with a duplicate name and adds a fault for
/// each.
void source_document::normalizeList(const std::string &Section,
                                    nlohmann::json &List,
                                    std::vector<compile_fault> &Faults) {
  const char *Key = entryNameKey(Section);
  nlohmann::json ValidEntries = nlohmann::json::array();
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    std::string EntryPath = Section + "[" + std::to_string(Index) + "]";
    auto AddFault = [&](const std::string &Reason) {
      Faults.push_back(
          {Path, Positions.nearestLine(EntryPath), EntryPath, Reason});
    };
    nlohmann::json &Entry = List[Index];
    if (!Entry.is_object()) {
      AddFault("must be an object");
      continue;
    }
    auto Name = Entry.find(Key);
    if (Name == Entry.end() || !Name->is_string() ||
        Name->get_ref<const std::string &>().empty()) {
      AddFault(std::string("needs a \"") + Key + "\", a non-empty string");
      continue;
    }
    std::string Text = Name->get<std::string>();
    if (!EntryIndexes[Section].emplace(Text, ValidEntries.size()).second) {
      AddFault("the name \"" + Text + "\" is used twice in this file");
      continue;
    }
    OriginalIndexes[Section].emplace(Text, Index);
    ValidEntries.push_back(std::move(Entry));
  }
  List = std::move(ValidEntries);
}

const entry_index &
source_document::entryIndex(const std::string &Section) const {
  static const entry_index None;
  auto Found = EntryIndexes.find(Section);
  return Found == EntryIndexes.end() ? None : Found->second;
}

/// Converts an effective path such as "services.commandes.version" to a
/// document path such as "services[1].version"; empty if the file has no such
/// entry.
std::string
source_document::documentPath(const std::string &EffectivePath) const {
  auto Dot = EffectivePath.find('.');
  std::string Section = EffectivePath.substr(0, Dot);
  auto Indexes = OriginalIndexes.find(Section);
  if (Dot == std::string::npos || !entryNameKey(Section))
    return EffectivePath;
  if (Indexes == OriginalIndexes.end())
    return {};
  auto End = EffectivePath.find('.', Dot + 1);
  auto Entry =
      Indexes->second.find(EffectivePath.substr(Dot + 1, End - Dot - 1));
  if (Entry == Indexes->second.end())
    return {};
  std::string DocumentPath =
      Section + "[" + std::to_string(Entry->second) + "]";
  return End == std::string::npos ? DocumentPath
                                  : DocumentPath + EffectivePath.substr(End);
}

std::optional<std::uint32_t>
source_document::lineOf(const std::string &EffectivePath) const {
  std::string DocumentPath = documentPath(EffectivePath);
  return DocumentPath.empty() ? std::nullopt : Positions.lineOf(DocumentPath);
}

std::uint32_t
source_document::nearestLine(const std::string &EffectivePath) const {
  return Positions.nearestLine(documentPath(EffectivePath));
}

bool source_document::containsEntry(const std::string &EffectivePath) const {
  std::string DocumentPath = documentPath(EffectivePath);
  return !DocumentPath.empty() &&
         Positions.lineOf(DocumentPath.substr(0, DocumentPath.find('.')))
             .has_value();
}

} // namespace gentianlug::config::detail
