#include "detail/source_document.h"

#include "detail/json_model.h"
#include "gentianlug/settings/json_file.h"

namespace gentianlug::config::detail {

source_document::source_document(const source_file &File,
                                 std::vector<compile_fault> &Faults)
    : Path(File.Path), Positions(File.Text) {
  auto Parsed = settings::parseJson(File.Text, File.Path);
  if (!Parsed) {
    // The detail starts with the path, which the fault names already.
    std::string Reason = Parsed.failure().Detail.substr(Path.size() + 2);
    Faults.push_back({Path, 1, "", "malformed JSON: " + Reason});
    return;
  }
  if (!Parsed->is_object()) {
    Faults.push_back({Path, 1, "", "must be an object"});
    return;
  }
  Json = std::move(*Parsed);
  for (const std::string &Duplicate : Positions.duplicates())
    Faults.push_back({Path, Positions.nearestLine(Duplicate), Duplicate,
                      "is given twice in one object"});
  checkShape(Faults);
}

void source_document::checkShape(std::vector<compile_fault> &Faults) {
  for (auto &Item : Json.items())
    if (entryKey(Item.key()) && Item.value().is_array())
      checkList(Item.key(), Item.value(), Faults);
}

/// Drops entries without a name and second entries of a name, with a fault.
void source_document::checkList(const std::string &Section,
                                nlohmann::json &List,
                                std::vector<compile_fault> &Faults) {
  const char *Key = entryKey(Section);
  nlohmann::json Kept = nlohmann::json::array();
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    std::string Where = Section + "[" + std::to_string(Index) + "]";
    auto Fail = [&](const std::string &Reason) {
      Faults.push_back({Path, Positions.nearestLine(Where), Where, Reason});
    };
    nlohmann::json &Entry = List[Index];
    if (!Entry.is_object()) {
      Fail("must be an object");
      continue;
    }
    auto Name = Entry.find(Key);
    if (Name == Entry.end() || !Name->is_string() ||
        Name->get_ref<const std::string &>().empty()) {
      Fail(std::string("needs a \"") + Key + "\", a non-empty string");
      continue;
    }
    std::string Text = Name->get<std::string>();
    if (!Entries[Section].emplace(Text, Kept.size()).second) {
      Fail("the name \"" + Text + "\" is used twice in this file");
      continue;
    }
    FilePositions[Section].emplace(Text, Index);
    Kept.push_back(std::move(Entry));
  }
  List = std::move(Kept);
}

const entry_index &source_document::entries(const std::string &Section) const {
  static const entry_index None;
  auto Found = Entries.find(Section);
  return Found == Entries.end() ? None : Found->second;
}

/// Turns "services.commandes.version" into "services[1].version"; empty when
/// the file has no such entry.
std::string source_document::rawPath(const std::string &Effective) const {
  auto Dot = Effective.find('.');
  std::string Section = Effective.substr(0, Dot);
  auto Positions = FilePositions.find(Section);
  if (Dot == std::string::npos || !entryKey(Section))
    return Effective;
  if (Positions == FilePositions.end())
    return {};
  auto End = Effective.find('.', Dot + 1);
  auto Entry = Positions->second.find(Effective.substr(Dot + 1, End - Dot - 1));
  if (Entry == Positions->second.end())
    return {};
  std::string Raw = Section + "[" + std::to_string(Entry->second) + "]";
  return End == std::string::npos ? Raw : Raw + Effective.substr(End);
}

std::optional<std::uint32_t>
source_document::lineOf(const std::string &Effective) const {
  std::string Raw = rawPath(Effective);
  return Raw.empty() ? std::nullopt : Positions.lineOf(Raw);
}

std::uint32_t source_document::nearestLine(const std::string &Effective) const {
  return Positions.nearestLine(rawPath(Effective));
}

bool source_document::mentions(const std::string &Effective) const {
  std::string Raw = rawPath(Effective);
  return !Raw.empty() &&
         Positions.lineOf(Raw.substr(0, Raw.find('.'))).has_value();
}

} // namespace gentianlug::config::detail
