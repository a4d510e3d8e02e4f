#include "gentianlug/gateway/mesh_feed.h"

#include <algorithm>
#include <unordered_map>

namespace gentianlug::gateway {

static bool routesEqual(const mesh::route &Left, const mesh::route &Right) {
  auto SameServices = Left.Services.size() == Right.Services.size() &&
                      std::equal(Left.Services.begin(), Left.Services.end(),
                                 Right.Services.begin(),
                                 [](const auto &First, const auto &Second) {
                                   return First.Service == Second.Service &&
                                          First.Weight == Second.Weight;
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
  std::unordered_map<route_name, const mesh::route *> OldRoutes;
  for (const mesh::route &Route : From->Routes)
    OldRoutes.emplace(Route.Name, &Route);
  for (const mesh::route &Route : To.Routes) {
    auto Found = OldRoutes.find(Route.Name);
    if (Found == OldRoutes.end() || !routesEqual(*Found->second, Route))
      Change.Routes.push_back(Route);
    if (Found != OldRoutes.end())
      OldRoutes.erase(Found);
  }
  for (const auto &[Name, Route] : OldRoutes)
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
  if (!Configurations.empty() &&
      Configurations.back()->Version >= Next->Version)
    return;
  Configurations.push_back(std::move(Next));
  if (Configurations.size() > MaxConfigurations)
    Configurations.pop_front();
}

void feed_state::setServers(const std::vector<mesh::server_record> &Next) {
  std::map<node_id, versioned_record> NextServers;
  std::uint64_t NextRevision = ServersRevision + 1;
  bool Changed = false;
  for (const mesh::server_record &Record : Next) {
    auto Found = Servers.find(Record.Node);
    bool Same = Found != Servers.end() && Found->second.Record == Record;
    NextServers.emplace(
        Record.Node,
        versioned_record{Record, Same ? Found->second.Revision : NextRevision});
    Changed = Changed || !Same;
  }
  for (const auto &[Node, Old] : Servers) {
    if (NextServers.contains(Node))
      continue;
    Removals.push_back({Node, NextRevision});
    Changed = true;
  }
  while (Removals.size() > MaxRemovals) {
    MinDeltaRevision = Removals.front().Revision;
    Removals.pop_front();
  }
  Servers = std::move(NextServers);
  if (Changed)
    ServersRevision = NextRevision;
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
feed_state::changesSince(const feed_cursor &Cursor) const {
  bool SameEpoch = Cursor.Epoch == Epoch;
  feed_update Update;
  Update.Cursor.Epoch = Epoch;
  Update.Cursor.ServersRevision = ServersRevision;
  Update.Cursor.ControlRevision = ControlRevision;
  bool Changed = !SameEpoch;
  if (!Configurations.empty()) {
    Update.Cursor.ConfigVersion = Configurations.back()->Version;
    if (Cursor.ConfigVersion < Configurations.back()->Version) {
      // Configuration versions are the same at every relay, so the cursor of
      // another epoch is valid here.
      const mesh::mesh_configuration *Base = nullptr;
      for (const auto &Each : Configurations)
        if (Each->Version == Cursor.ConfigVersion)
          Base = Each.get();
      Update.Config = makeConfigChange(Base, *Configurations.back());
      Changed = true;
    }
  }
  if (!SameEpoch || Cursor.ServersRevision < ServersRevision) {
    Changed = true;
    Update.FullServerList =
        !SameEpoch || Cursor.ServersRevision < MinDeltaRevision;
    for (const auto &[Node, Each] : Servers)
      if (Update.FullServerList || Each.Revision > Cursor.ServersRevision)
        Update.Servers.push_back(Each.Record);
    for (const removal &Each : Removals)
      if (!Update.FullServerList && Each.Revision > Cursor.ServersRevision &&
          !Servers.contains(Each.Node))
        Update.RemovedServers.push_back(Each.Node);
  }
  if (!SameEpoch || Cursor.ControlRevision < ControlRevision) {
    Changed = true;
    Update.ControlState = ControlState;
  }
  if (!Changed)
    return std::nullopt;
  return Update;
}

} // namespace gentianlug::gateway
