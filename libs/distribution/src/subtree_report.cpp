#include "gentianlug/distribution/subtree_report.h"

#include <algorithm>

namespace gentianlug::distribution {

void subtree_report::merge(const subtree_report &Other) {
  for (const auto &[Version, Nodes] : Other.NodesByVersion)
    NodesByVersion[Version] += Nodes;
  while (NodesByVersion.size() > MaxReportedVersions) {
    auto Oldest = NodesByVersion.begin();
    std::next(Oldest)->second += Oldest->second;
    NodesByVersion.erase(Oldest);
  }
  for (const refusal_report &Refusal : Other.Refusals)
    if (Refusals.size() < MaxReportedRefusals)
      Refusals.push_back(Refusal);
}

} // namespace gentianlug::distribution
