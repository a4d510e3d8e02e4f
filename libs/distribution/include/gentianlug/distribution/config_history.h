#ifndef GENTIANLUG_DISTRIBUTION_CONFIG_HISTORY_H
#define GENTIANLUG_DISTRIBUTION_CONFIG_HISTORY_H

#include "gentianlug/config/parts.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/result.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::distribution {

/// Versions whose parts are kept as bases of deltas.
inline constexpr std::size_t MaxRetainedVersions = 8;

/// One complete version of a site as parts.
struct config_image {
  config_version Version = 0;
  std::string RootHash;
  config::part_map Parts;
};

/// A changed part: the text between a common front and a common back of the
/// old text. A part without an old text keeps nothing.
///
/// It has no hash of its own: the root hash of the update covers the hashes of
/// all parts, and they are computed from the resulting texts.
struct part_patch {
  std::string Name;
  std::size_t PrefixLength = 0;
  std::size_t SuffixLength = 0;
  std::string Replacement;

  bool operator==(const part_patch &) const = default;
};

/// A version as a delta from a base version, or whole when the base is 0.
struct config_update {
  config_version Version = 0;
  std::string RootHash;
  config_version BaseVersion = 0;
  std::vector<part_patch> ChangedParts;
  std::vector<std::string> RemovedParts;

  bool operator==(const config_update &) const = default;
};

/// The newest version with its predecessors, as far as they are kept.
class config_history {
public:
  /// Returns the newest version, or 0.
  config_version newestVersion() const;

  /// Adds a version above the newest one; any other changes nothing.
  void add(config_image Image);

  /// Returns what a peer with version \p Held needs, or nothing when it needs
  /// nothing. Complexity: linear in the size of the configuration.
  std::optional<config_update> updateFor(config_version Held) const;

  /// Builds the version that \p Update describes, without adding it.
  ///
  /// Errors: `distribution_errc::UnknownBase`, `BadPatch`.
  result<config_image> build(const config_update &Update) const;

private:
  /// A version whose unchanged parts are shared with other versions.
  struct retained_image {
    config_version Version = 0;
    std::string RootHash;
    std::map<std::string, std::shared_ptr<const config::part>> Parts;
  };

  const retained_image *find(config_version Version) const;

  std::deque<retained_image> Images;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_CONFIG_HISTORY_H
