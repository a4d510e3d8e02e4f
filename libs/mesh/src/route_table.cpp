#include "gentianlug/mesh/route_table.h"

namespace gentianlug::mesh {

const service *
mesh_configuration::findService(const service_name &Wanted) const {
  for (const service &Each : Services)
    if (Each.Name == Wanted)
      return &Each;
  return nullptr;
}

route_table::route_table(
    std::shared_ptr<const mesh_configuration> Configuration)
    : Configuration(std::move(Configuration)) {
  for (const route &Each : this->Configuration->Routes)
    RoutesByHost[Each.Host].emplace(Each.PathPrefix, &Each);
}

/// Returns the host without its port; routes are matched without a port.
static std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

const route *route_table::find(std::string_view Host,
                               std::string_view Target) const {
  auto Found = RoutesByHost.find(withoutPort(Host));
  if (Found == RoutesByHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  // Prefixes end with a slash, so only the parts up to a slash are looked up.
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Path.rfind('/', Slash - 1)) {
    auto Route = Found->second.find(Path.substr(0, Slash + 1));
    if (Route != Found->second.end())
      return Route->second;
    if (Slash == 0)
      break;
  }
  return nullptr;
}

const service_name *route_table::selectService(const route &Route,
                                               generator &Gen) {
  double Total = 0;
  for (const weighted_service &Each : Route.Services)
    Total += Each.Weight;
  if (Total <= 0)
    return nullptr;
  double Draw = std::uniform_real_distribution<double>(0, Total)(Gen);
  const service_name *Last = nullptr;
  for (const weighted_service &Each : Route.Services) {
    if (Each.Weight <= 0)
      continue;
    Last = &Each.Service;
    if (Draw < Each.Weight)
      break;
    Draw -= Each.Weight;
  }
  return Last;
}

} // namespace gentianlug::mesh
