#include "gentianlug/gateway/mesh_feed.h"

#include <algorithm>
#include <unordered_map>

namespace gentianlug::gateway {

static bool routesEqual(const mesh::route &Left, const mesh::route &Right) {
  auto SameServices = Left.Services.size() == Right.Services.size() &&
                      std::equal(Left.Services.begin(), Left.Services.end(),
                                 Right.Services.begin(),
                                 [](const auto &One, const auto &Other) {
                                   return One.Service == Other.Service &&
                                          One.Weight == Other.Weight;
                                 });
  return SameServices && Left.Name == Right.Name && Left.Host == Right.Host &&
         Left.PathPrefix == Right.PathPrefix && Left.Kind == Right.Kind &&
         Left.Timeout == Right.Timeout &&
         Left.TargetLatency == Right.TargetLatency &&
         Left.Priority == Right.Priority &&
         Left.MaxAttempts == Right.MaxAttempts;
}

config_change makeConfigChange(const mesh::mesh_configuration *From,
                               const mesh::mesh_configuration &To) {
  config_change Change;
  Change.Version = To.Version;
  Change.Services = To.Services;
  Change.Limits = To.Limits;
  if (!From) {
    Change.Routes = To.Routes;
    return Change;
  }
  Change.BaseVersion = From->Version;
  std::unordered_map<route_name, const mesh::route *> Before;
  for (const mesh::route &Route : From->Routes)
    Before.emplace(Route.Name, &Route);
  for (const mesh::route &Route : To.Routes) {
    auto Found = Before.find(Route.Name);
    if (Found == Before.end() || !routesEqual(*Found->second, Route))
      Change.Routes.push_back(Route);
    if (Found != Before.end())
      Before.erase(Found);
  }
  for (const auto &[Name, Route] : Before)
    Change.RemovedRoutes.push_back(Name);
  return Change;
}

std::shared_ptr<const mesh::mesh_configuration>
applyConfigChange(const mesh::mesh_configuration *From,
                  const config_change &Change) {
  auto Next = std::make_shared<mesh::mesh_configuration>();
  Next->Version = Change.Version;
  Next->Services = Change.Services;
  Next->Limits = Change.Limits;
  Next->Routes = Change.Routes;
  if (Change.BaseVersion == 0)
    return Next;
  if (!From || From->Version != Change.BaseVersion)
    return nullptr;
  std::unordered_map<route_name, bool> Replaced;
  for (const mesh::route &Route : Change.Routes)
    Replaced.emplace(Route.Name, true);
  for (const route_name &Name : Change.RemovedRoutes)
    Replaced.emplace(Name, true);
  for (const mesh::route &Route : From->Routes)
    if (!Replaced.contains(Route.Name))
      Next->Routes.push_back(Route);
  return Next;
}

void feed_state::setConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  if (!Versions.empty() && Versions.back()->Version >= Next->Version)
    return;
  Versions.push_back(std::move(Next));
  if (Versions.size() > MaxVersions)
    Versions.pop_front();
}

void feed_state::setServers(const std::vector<mesh::server_record> &Next) {
  std::map<node_id, versioned_record> After;
  std::uint64_t Number = ServersRevision + 1;
  bool Changed = false;
  for (const mesh::server_record &Record : Next) {
    auto Found = Servers.find(Record.Node);
    bool Same = Found != Servers.end() && Found->second.Record == Record;
    After.emplace(
        Record.Node,
        versioned_record{Record, Same ? Found->second.Revision : Number});
    Changed = Changed || !Same;
  }
  for (const auto &[Node, Old] : Servers) {
    if (After.contains(Node))
      continue;
    Removals.push_back({Node, Number});
    Changed = true;
  }
  while (Removals.size() > MaxRemovals) {
    MinDeltaRevision = Removals.front().Revision;
    Removals.pop_front();
  }
  Servers = std::move(After);
  if (Changed)
    ServersRevision = Number;
}

void feed_state::setControlState(control_state Next) {
  if (ControlRevision > 0 && Next.BaseVersions == ControlState.BaseVersions &&
      Next.Rollouts == ControlState.Rollouts &&
      Next.ZonesOutOfService == ControlState.ZonesOutOfService)
    return;
  ControlState = std::move(Next);
  ++ControlRevision;
}

std::optional<feed_update>
feed_state::changesSince(const feed_cursor &At) const {
  bool Known = At.Epoch == Epoch;
  feed_update Update;
  Update.Cursor.Epoch = Epoch;
  Update.Cursor.ServersRevision = ServersRevision;
  Update.Cursor.ControlRevision = ControlRevision;
  bool Any = !Known;
  if (!Versions.empty()) {
    Update.Cursor.ConfigVersion = Versions.back()->Version;
    if (At.ConfigVersion < Versions.back()->Version) {
      // Versions of the configuration are the same at every relay.
      const mesh::mesh_configuration *Base = nullptr;
      for (const auto &Version : Versions)
        if (Version->Version == At.ConfigVersion)
          Base = Version.get();
      Update.Config = makeConfigChange(Base, *Versions.back());
      Any = true;
    }
  }
  if (!Known || At.ServersRevision < ServersRevision) {
    Any = true;
    Update.FullServerList = !Known || At.ServersRevision < MinDeltaRevision;
    for (const auto &[Node, Each] : Servers)
      if (Update.FullServerList || Each.Revision > At.ServersRevision)
        Update.Servers.push_back(Each.Record);
    for (const removal &Each : Removals)
      if (!Update.FullServerList && Each.Revision > At.ServersRevision &&
          !Servers.contains(Each.Node))
        Update.RemovedServers.push_back(Each.Node);
  }
  if (!Known || At.ControlRevision < ControlRevision) {
    Any = true;
    Update.ControlState = ControlState;
  }
  if (!Any)
    return std::nullopt;
  return Update;
}

} // namespace gentianlug::gateway
