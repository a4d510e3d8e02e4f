#ifndef GENTIANLUG_SETTINGS_POSITION_INDEX_H
#define GENTIANLUG_SETTINGS_POSITION_INDEX_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentianlug::settings {

/// Line numbers of the values of a JSON document with comments, by path.
///
/// The JSON library does not report line numbers. Paths join keys with "." and
/// denote array elements by "[N]", for example `services[3].limits.slots`. The
/// line of a member is the line of its key. The index of a malformed document
/// is incomplete.
///
/// Example: `position_index(R"({"a": [1]})").lineOf("a[0]")` is 1.
class position_index {
public:
  /// Indexes \p Text, which need not outlive the constructor.
  ///
  /// Complexity: linear in the size of \p Text.
  explicit position_index(std::string_view Text);

  /// Returns the line of the value at \p Path, counted from 1.
  std::optional<std::uint32_t> lineOf(const std::string &Path) const;

  /// Returns the line of the value at \p Path or of its closest enclosing
  /// value; 1 if there is none.
  std::uint32_t nearestLine(std::string Path) const;

  /// Returns the paths of keys that occur more than once in an object. The JSON
  /// parser keeps only the last value and does not report the duplicate.
  const std::vector<std::string> &duplicateKeys() const {
    return DuplicateKeys;
  }

private:
  friend class position_scanner;

  std::unordered_map<std::string, std::uint32_t> Lines;
  std::vector<std::string> DuplicateKeys;
};

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_POSITION_INDEX_H
