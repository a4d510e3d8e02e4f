#include "gentianlug/config/model.h"

#include <algorithm>

namespace gentianlug::config {

std::string rollout::id() const {
  auto Finish = std::chrono::duration_cast<std::chrono::seconds>(
      FinishBy.time_since_epoch());
  return Service.str() + "@" + Version.str() + "@" +
         std::to_string(Finish.count());
}

const service *findService(const site_configuration &Configuration,
                           const service_name &Name) {
  auto Entry = std::lower_bound(
      Configuration.Services.begin(), Configuration.Services.end(), Name,
      [](const service &S, const service_name &N) { return S.Name < N; });
  bool Found = Entry != Configuration.Services.end() && Entry->Name == Name;
  return Found ? &*Entry : nullptr;
}

/// Returns whether \p Prefix matches whole leading segments of \p Path,
/// ignoring the query string.
static bool matchesPrefix(std::string_view Prefix, std::string_view Path) {
  Path = Path.substr(0, Path.find('?'));
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/';
}

const route *matchRoute(const site_configuration &Configuration,
                        std::string_view Path) {
  for (const route &Route : Configuration.Routes)
    if (matchesPrefix(Route.PathPrefix, Path))
      return &Route;
  return nullptr;
}

const rollout *findRollout(const site_configuration &Configuration,
                           const service_name &Service) {
  for (const rollout &Rollout : Configuration.Rollouts)
    if (Rollout.Service == Service)
      return &Rollout;
  return nullptr;
}

} // namespace gentianlug::config
