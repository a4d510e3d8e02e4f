#include "gentianlug/rollout/server_evidence_table.h"

namespace gentianlug::rollout {

bool server_evidence_table::accept(steady_time Now,
                                   const server_evidence &Evidence) {
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
                            Evidence.Sequence, Evidence.ConcurrencyLimit, Now};
  return true;
}

void server_evidence_table::dropStale(steady_time Now) {
  std::erase_if(Servers, [Now](const auto &Item) {
    return Now - Item.second.ReceivedAt > EvidenceLifetime;
  });
}

bool server_evidence_table::hasServer(const version_name &Version,
                                      steady_time Now) const {
  for (const auto &[Node, Server] : Servers)
    if (Server.Version == Version &&
        Now - Server.ReceivedAt <= EvidenceLifetime)
      return true;
  return false;
}

std::uint32_t
server_evidence_table::concurrencyLimit(const version_name &Version,
                                        steady_time Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Node, Server] : Servers)
    if (Server.Version == Version &&
        Now - Server.ReceivedAt <= EvidenceLifetime)
      Sum += Server.ConcurrencyLimit;
  return Sum;
}

} // namespace gentianlug::rollout
