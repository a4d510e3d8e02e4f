#ifndef GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H
#define GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H

#include "gentianlug/config/compile.h"
#include "gentianlug/settings/position_index.h"

#include <nlohmann/json.hpp>
#include <unordered_map>

namespace gentianlug::config::detail {

/// Position of a named entry in a list, by name.
using entry_index = std::unordered_map<std::string, std::size_t>;

/// A parsed configuration file that finds lines by effective paths.
///
/// An effective path names entries ("services.commandes.version"), while the
/// file counts them ("services[1].version").
class source_document {
public:
  /// Parses the file and checks the shape of its lists: every entry needs a
  /// name of its own. Faults are added to \p Faults; a malformed file is read
  /// as an empty object, so that later steps can go on.
  source_document(const source_file &File, std::vector<compile_fault> &Faults);

  const nlohmann::json &json() const { return Json; }
  const std::string &path() const { return Path; }

  /// Returns the line that gives the value at the effective path \p Effective.
  std::optional<std::uint32_t> lineOf(const std::string &Effective) const;

  /// Returns the line of the closest enclosing value; 1 when there is none.
  std::uint32_t nearestLine(const std::string &Effective) const;

  /// Returns whether the file gives the entry or top-level key that
  /// \p Effective starts with.
  bool mentions(const std::string &Effective) const;

  /// Returns the index of the list \p Section; empty when the file lacks it.
  const entry_index &entries(const std::string &Section) const;

private:
  void checkShape(std::vector<compile_fault> &Faults);
  void checkList(const std::string &Section, nlohmann::json &List,
                 std::vector<compile_fault> &Faults);
  std::string rawPath(const std::string &Effective) const;

  std::string Path;
  nlohmann::json Json = nlohmann::json::object();
  settings::position_index Positions;
  std::unordered_map<std::string, entry_index> Entries;
  /// Positions of the entries in the file, before faulty ones were dropped.
  std::unordered_map<std::string, entry_index> FilePositions;
};

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_SOURCE_DOCUMENT_H
