#ifndef GENTIANLUG_SETTINGS_POSITION_INDEX_H
#define GENTIANLUG_SETTINGS_POSITION_INDEX_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentianlug::settings {

/// Lines of the values of a JSON document with comments, by path.
///
/// The JSON library reports no lines. A path joins keys with "." and gives
/// array elements as "[N]", for example `services[3].limits.slots`. The line
/// of a member is that of its key. Malformed text gives an incomplete index.
///
/// Example: `position_index(R"({"a": [1]})").lineOf("a[0]")` is 1.
class position_index {
public:
  /// Complexity: linear in the size of \p Text, which is not kept.
  explicit position_index(std::string_view Text);

  /// Returns the line of the value at \p Path, counted from 1.
  std::optional<std::uint32_t> lineOf(const std::string &Path) const;

  /// Returns the line of \p Path or of its closest enclosing value.
  std::uint32_t nearestLine(std::string Path) const;

  /// Returns the paths of keys that one object gives twice. The parser keeps
  /// the last value only, so the first would be lost without a word.
  const std::vector<std::string> &duplicates() const { return Duplicates; }

private:
  friend class position_scanner;

  std::unordered_map<std::string, std::uint32_t> Lines;
  std::vector<std::string> Duplicates;
};

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_POSITION_INDEX_H
