#ifndef GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H
#define GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H

#include "gentianlug/core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianlug::distribution {

/// Maximum number of refusals in a report; further ones are dropped.
inline constexpr std::size_t MaxReportedRefusals = 10;
/// Maximum number of versions in a report; nodes with older versions are
/// counted for the oldest listed one.
inline constexpr std::size_t MaxReportedVersions = 16;

/// A configuration version that a node refused.
struct refusal_report {
  node_id Node;
  config_version Version = 0;
  std::string Reason;

  bool operator==(const refusal_report &) const = default;
};

/// The versions in force on a node and in its subtree.
struct subtree_report {
  std::map<config_version, std::uint32_t> NodesByVersion;
  std::vector<refusal_report> Refusals;

  /// Adds the counts and refusals of \p Other, within the bounds.
  void merge(const subtree_report &Other);

  bool operator==(const subtree_report &) const = default;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H
