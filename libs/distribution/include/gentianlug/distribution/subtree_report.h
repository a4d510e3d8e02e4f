#ifndef GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H
#define GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H

#include "gentianlug/core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianlug::distribution {

/// Refusals and versions that one report lists; refusals beyond are dropped,
/// nodes of versions beyond count for the oldest listed version.
inline constexpr std::size_t MaxReportedRefusals = 10;
inline constexpr std::size_t MaxReportedVersions = 16;

/// A version that a node refused, with the reason.
struct refusal_report {
  node_id Node;
  config_version Version = 0;
  std::string Reason;

  bool operator==(const refusal_report &) const = default;
};

/// What is in force on a node and on all nodes below it.
struct subtree_report {
  std::map<config_version, std::uint32_t> NodesByVersion;
  std::vector<refusal_report> Refusals;

  /// Adds the nodes of \p Other, within the bounds.
  void merge(const subtree_report &Other);

  bool operator==(const subtree_report &) const = default;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_SUBTREE_REPORT_H
