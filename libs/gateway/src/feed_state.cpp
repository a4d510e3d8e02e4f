#include "gentianlug/gateway/mesh_feed.h"

#include <algorithm>
#include <iterator>
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
         Left.MaxAttempts == Right.MaxAttempts &&
         Left.IsPublic == Right.IsPublic;
}

/// Adds the difference between the accounts of \p From and \p To to \p Change.
static void addAccountChanges(config_change &Change,
                              const mesh::account_list &From,
                              const mesh::account_list &To) {
  auto Old = From.begin();
  for (const auto &Account : To) {
    for (; Old != From.end() && (*Old)->Name < Account->Name; ++Old)
      Change.RemovedAccounts.push_back((*Old)->Name);
    bool Known = Old != From.end() && (*Old)->Name == Account->Name;
    if (!Known || (*Old != Account && **Old != *Account))
      Change.Accounts.push_back(Account);
    if (Known)
      ++Old;
  }
  for (; Old != From.end(); ++Old)
    Change.RemovedAccounts.push_back((*Old)->Name);
}

/// Returns the accounts of \p From after \p Change.
static mesh::account_list applyAccountChanges(const mesh::account_list &From,
                                              const config_change &Change) {
  mesh::account_list Kept;
  for (const auto &Account : From)
    if (!std::binary_search(Change.RemovedAccounts.begin(),
                            Change.RemovedAccounts.end(), Account->Name))
      Kept.push_back(Account);
  auto ByName = [](const auto &Left, const auto &Right) {
    return Left->Name < Right->Name;
  };
  // Of two accounts with the same name, the union keeps the one of the change.
  mesh::account_list Next;
  std::set_union(Change.Accounts.begin(), Change.Accounts.end(), Kept.begin(),
                 Kept.end(), std::back_inserter(Next), ByName);
  return Next;
}

config_change makeConfigChange(const mesh::mesh_configuration *From,
                               const mesh::mesh_configuration &To) {
  config_change Change;
  Change.Version = To.Version;
  Change.Services = To.Services;
  Change.Limits = To.Limits;
  Change.RequiresApiKeys = To.RequiresApiKeys;
  if (!From) {
    Change.Routes = To.Routes;
    Change.Accounts = To.Accounts;
    return Change;
  }
  addAccountChanges(Change, From->Accounts, To.Accounts);
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
  Next->RequiresApiKeys = Change.RequiresApiKeys;
  Next->Accounts = Change.Accounts;
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
  Next->Accounts = applyAccountChanges(From->Accounts, Change);
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
