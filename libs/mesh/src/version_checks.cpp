#include "gentianlug/mesh/version_checks.h"

namespace gentianlug::mesh {

node_id selectBaseVersionWriter(const std::vector<server_record> &Servers,
                                const service_name &Service,
                                const version_name &Version) {
  node_id First;
  for (const server_record &Each : Servers)
    if (Each.Service == Service && Each.Version == Version &&
        Each.State == server_state::Ready &&
        (First.empty() || Each.Node < First))
      First = Each.Node;
  return First;
}

std::set<service_name>
findUnreachableServices(const std::vector<server_record> &Servers,
                        const version_policy &Versions) {
  std::set<service_name> Unreachable;
  std::set<service_name> Reachable;
  for (const server_record &Each : Servers) {
    if (Each.State != server_state::Ready ||
        !Versions.baseVersion(Each.Service))
      continue;
    if (Versions.mayServe(Each.Service, Each.Version))
      Reachable.insert(Each.Service);
    else
      Unreachable.insert(Each.Service);
  }
  for (const service_name &Service : Reachable)
    Unreachable.erase(Service);
  return Unreachable;
}

} // namespace gentianlug::mesh
