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

/// Number of versions that are kept as bases of deltas.
inline constexpr std::size_t MaxRetainedVersions = 8;

/// A complete configuration version of a site, split into parts.
struct config_image {
  config_version Version = 0;
  std::string RootHash;
  config::part_map Parts;
};

/// A changed part, described by the text that replaces everything between a
/// common prefix and a common suffix. Both lengths are 0 for a new part.
///
/// A patch has no hash of its own: the root hash of the update covers the
/// hashes of all parts, and these are computed from the resulting texts.
struct part_patch {
  std::string Name;
  std::size_t PrefixLength = 0;
  std::size_t SuffixLength = 0;
  std::string Replacement;

  bool operator==(const part_patch &) const = default;
};

/// A version as a delta from a base version, or in full if the base is 0.
struct config_update {
  config_version Version = 0;
  std::string RootHash;
  config_version BaseVersion = 0;
  std::vector<part_patch> ChangedParts;
  std::vector<std::string> RemovedParts;

  bool operator==(const config_update &) const = default;
};

/// The newest version and its retained predecessors.
class config_history {
public:
  /// Returns the newest version, or 0 if there is none.
  config_version newestVersion() const;

  /// Adds a version; has no effect unless it is newer than all others.
  void add(config_image Image);

  /// Returns the update to the newest version for a peer that has version
  /// \p Held, or `std::nullopt` if it is up to date. Complexity: linear in the
  /// size of the configuration.
  std::optional<config_update> updateFor(config_version Held) const;

  /// Builds the version that \p Update describes, without adding it.
  ///
  /// Errors: `distribution_errc::UnknownBase`, `BadPatch`.
  result<config_image> build(const config_update &Update) const;

private:
  /// A version that shares its unchanged parts with other versions.
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
