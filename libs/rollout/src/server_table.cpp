#include "gentianlug/rollout/server_table.h"

namespace gentianlug::rollout {

bool server_table::accept(steady_time Now, const server_evidence &Evidence) {
  auto Found = Servers.find(Evidence.Node);
  if (Found == Servers.end()) {
    if (Servers.size() >= MaxEvidenceServers)
      dropStale(Now);
    if (Servers.size() >= MaxEvidenceServers)
      return false;
  } else if (Evidence.Sequence <= Found->second.Sequence ||
             Evidence.ServerIncarnation < Found->second.Incarnation) {
    return false;
  }
  Servers[Evidence.Node] = {Evidence.Version, Evidence.ServerIncarnation,
                            Evidence.Sequence, Evidence.Allowance, Now};
  return true;
}

void server_table::dropStale(steady_time Now) {
  std::erase_if(Servers, [Now](const auto &Item) {
    return Now - Item.second.At > EvidenceLifetime;
  });
}

bool server_table::anyOf(const version_name &Version, steady_time Now) const {
  for (const auto &[Node, Server] : Servers)
    if (Server.Version == Version && Now - Server.At <= EvidenceLifetime)
      return true;
  return false;
}

std::uint32_t server_table::allowance(const version_name &Version,
                                      steady_time Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Node, Server] : Servers)
    if (Server.Version == Version && Now - Server.At <= EvidenceLifetime)
      Sum += Server.Allowance;
  return Sum;
}

} // namespace gentianlug::rollout
