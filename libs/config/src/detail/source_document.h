#ifndef GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H
#define GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H

#include "gentianlug/config/compile.h"
#include "gentianlug/settings/position_index.h"

#include <nlohmann/json.hpp>
#include <unordered_map>

namespace gentianlug::config::detail {

/// Index of each entry in a list, by entry name.
using entry_index = std::unordered_map<std::string, std::size_t>;

/// A parsed configuration file that maps effective paths to line numbers.
///
/// An effective path identifies list entries by name
/// ("services.commandes.version"), a document path by index
/// ("services[1].version").
class source_document {
public:
  /// Parses the file and checks that every entry of a named list has a unique
  /// name. Faults are added to \p Faults. A malformed file is treated as an
  /// empty object, so that compilation can continue and report further faults.
  source_document(const source_file &File, std::vector<compile_fault> &Faults);

  const nlohmann::json &json() const { return Json; }
  const std::string &path() const { return Path; }

  /// Returns the line of the value at \p EffectivePath, if the file has one.
  std::optional<std::uint32_t> lineOf(const std::string &EffectivePath) const;

  /// Returns the line of the value at \p EffectivePath or of its closest
  /// enclosing value; 1 if there is none.
  std::uint32_t nearestLine(const std::string &EffectivePath) const;

  /// Returns whether the file contains the entry or top-level key that
  /// \p EffectivePath starts with.
  bool containsEntry(const std::string &EffectivePath) const;

  /// Returns the entries of the list \p Section; empty if the file does not
  /// contain it.
  const entry_index &entryIndex(const std::string &Section) const;

private:
  void normalizeLists(std::vector<compile_fault> &Faults);
  void normalizeList(const std::string &Section, nlohmann::json &List,
                     std::vector<compile_fault> &Faults);
  std::string documentPath(const std::string &EffectivePath) const;

  std::string Path;
  nlohmann::json Json = nlohmann::json::object();
  settings::position_index Positions;
  std::unordered_map<std::string, entry_index> EntryIndexes;
  /// Indexes of the entries in the file, before invalid entries were removed.
  std::unordered_map<std::string, entry_index> OriginalIndexes;
};

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H
