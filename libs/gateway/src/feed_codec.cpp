#include "gentianlug/core/error_table.h"
#include "json_message.h"

#include <algorithm>

namespace gentianlug::gateway {

using nlohmann::json;

static constexpr error_text FeedErrorTexts[] = {
    {int(feed_errc::MalformedFeed), "malformed message of a relay"},
};

std::error_code make_error_code(feed_errc Code) {
  static const error_table Category("feed", FeedErrorTexts);
  return {int(Code), Category};
}

// Records are encoded as arrays of values in a fixed order. Both sides run the
// same program, and member names would double the size.

static json encode(const mesh::route &Route) {
  json Services = json::array();
  for (const mesh::weighted_service &Each : Route.Services)
    Services.push_back({Each.Service.str(), Each.Weight});
  return {Route.Name.str(),      Route.Host,
          Route.PathPrefix,      int(Route.Kind),
          Route.Timeout.count(), Route.TargetLatency.count(),
          Route.Priority,        Route.MaxAttempts,
          std::move(Services),   Route.IsPublic};
}

static mesh::route decodeRoute(const json &Value) {
  mesh::route Route;
  Route.Name = route_name(Value.at(0).get<std::string>());
  Route.Host = Value.at(1);
  Route.PathPrefix = Value.at(2);
  Route.Kind = mesh::call_kind(Value.at(3).get<int>());
  Route.Timeout = std::chrono::milliseconds(Value.at(4).get<std::int64_t>());
  Route.TargetLatency =
      std::chrono::milliseconds(Value.at(5).get<std::int64_t>());
  Route.Priority = Value.at(6);
  Route.MaxAttempts = Value.at(7);
  for (const json &Each : Value.at(8))
    Route.Services.push_back(
        {service_name(Each.at(0).get<std::string>()), Each.at(1)});
  Route.IsPublic = Value.at(9);
  return Route;
}

static json encode(const mesh::client_account &Account) {
  return {Account.Name.str(), Account.ApiKeys,
          Account.Priority ? json(*Account.Priority) : json()};
}

static std::shared_ptr<const mesh::client_account>
decodeAccount(const json &Value) {
  mesh::client_account Account;
  Account.Name = account_name(Value.at(0).get<std::string>());
  Account.ApiKeys = Value.at(1).get<std::vector<std::string>>();
  if (!Value.at(2).is_null())
    Account.Priority = Value.at(2).get<std::uint32_t>();
  return std::make_shared<const mesh::client_account>(std::move(Account));
}

static void encodeAccounts(const config_change &Change, json &Value) {
  if (!Change.RequiresApiKeys)
    return;
  json Accounts = json::array();
  for (const auto &Account : Change.Accounts)
    Accounts.push_back(encode(*Account));
  json Removed = json::array();
  for (const account_name &Name : Change.RemovedAccounts)
    Removed.push_back(Name.str());
  Value["accounts"] = std::move(Accounts);
  Value["accounts_removed"] = std::move(Removed);
}

/// Decodes accounts and sorts them by name, as their users expect.
static void decodeAccounts(const json &Value, config_change &Change) {
  Change.RequiresApiKeys = Value.contains("accounts");
  if (!Change.RequiresApiKeys)
    return;
  for (const json &Each : Value.at("accounts"))
    Change.Accounts.push_back(decodeAccount(Each));
  std::sort(Change.Accounts.begin(), Change.Accounts.end(),
            [](const auto &Left, const auto &Right) {
              return Left->Name < Right->Name;
            });
  for (const json &Each : Value.at("accounts_removed"))
    Change.RemovedAccounts.emplace_back(Each.get<std::string>());
  std::sort(Change.RemovedAccounts.begin(), Change.RemovedAccounts.end());
}

static json encode(const mesh::service &Service) {
  return {Service.Name.str(), Service.HealthPath, Service.ColdCallsPerSecond};
}

static mesh::service decodeService(const json &Value) {
  mesh::service Service;
  Service.Name = service_name(Value.at(0).get<std::string>());
  Service.HealthPath = Value.at(1);
  Service.ColdCallsPerSecond = Value.at(2);
  return Service;
}

static json encode(const mesh::server_record &Record) {
  return {Record.Node.str(),    Record.NodeAddress.str(), Record.Instance,
          Record.Service.str(), Record.Version.str(),     Record.Zone.str(),
          Record.Slots,         int(Record.State),        Record.Incarnation,
          Record.Sequence,      Record.LinkMbps};
}

/// Decodes an address; an empty host gives an empty address.
///
/// \throws json::other_error if the text is not an address.
static address decodeAddress(const json &Value) {
  const auto &Text = Value.get_ref<const std::string &>();
  if (Text.find(':') == 0)
    return {};
  auto Address = parseAddress(Text);
  if (!Address)
    throw json::other_error::create(502, Address.failure().message(), &Value);
  return *Address;
}

static mesh::server_record decodeServer(const json &Value) {
  mesh::server_record Record;
  Record.Node = node_id(Value.at(0).get<std::string>());
  Record.NodeAddress = decodeAddress(Value.at(1));
  Record.Instance = Value.at(2);
  Record.Service = service_name(Value.at(3).get<std::string>());
  Record.Version = version_name(Value.at(4).get<std::string>());
  Record.Zone = zone_name(Value.at(5).get<std::string>());
  Record.Slots = Value.at(6);
  Record.State = mesh::server_state(Value.at(7).get<int>());
  Record.Incarnation = Value.at(8);
  Record.Sequence = Value.at(9);
  Record.LinkMbps = Value.at(10);
  return Record;
}

static json encode(const store_revision &Revision) {
  return {std::uint64_t(Revision.Era), Revision.Number};
}

static store_revision decodeRevision(const json &Value) {
  return {store_era(Value.at(0).get<std::uint64_t>()), Value.at(1)};
}

static json encode(const mesh::rollout_record &Record) {
  return {Record.Service.str(),
          Record.TargetVersion.str(),
          Record.Duration.count(),
          int(Record.Stage),
          Record.TrafficShare,
          Record.Elapsed.count(),
          Record.Controller.str(),
          Record.ControllerAddress.str(),
          Record.Reason,
          encode(Record.Revision),
          Record.BaseVersion.str(),
          Record.FaultRuledOut};
}

static mesh::rollout_record decodeRollout(const json &Value) {
  mesh::rollout_record Record;
  Record.Service = service_name(Value.at(0).get<std::string>());
  Record.TargetVersion = version_name(Value.at(1).get<std::string>());
  Record.Duration = std::chrono::milliseconds(Value.at(2).get<std::int64_t>());
  Record.Stage = mesh::rollout_stage(Value.at(3).get<int>());
  Record.TrafficShare = Value.at(4);
  Record.Elapsed = std::chrono::milliseconds(Value.at(5).get<std::int64_t>());
  Record.Controller = node_id(Value.at(6).get<std::string>());
  Record.ControllerAddress = decodeAddress(Value.at(7));
  Record.Reason = Value.at(8);
  Record.Revision = decodeRevision(Value.at(9));
  Record.BaseVersion = version_name(Value.at(10).get<std::string>());
  Record.FaultRuledOut = Value.at(11);
  return Record;
}

static json encode(const config_change &Change) {
  json Routes = json::array();
  for (const mesh::route &Route : Change.Routes)
    Routes.push_back(encode(Route));
  json Removed = json::array();
  for (const route_name &Name : Change.RemovedRoutes)
    Removed.push_back(Name.str());
  json Services = json::array();
  for (const mesh::service &Service : Change.Services)
    Services.push_back(encode(Service));
  const mesh::caller_limits &Limits = Change.Limits;
  json Value = {{"version", Change.Version},
                {"base", Change.BaseVersion},
                {"routes", std::move(Routes)},
                {"removed", std::move(Removed)},
                {"services", std::move(Services)},
                {"limits",
                 {Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                  Limits.HeaderTimeout.count(), Limits.IdleTimeout.count()}}};
  encodeAccounts(Change, Value);
  return Value;
}

static config_change decodeConfigChange(const json &Value) {
  config_change Change;
  Change.Version = Value.at("version");
  Change.BaseVersion = Value.at("base");
  for (const json &Each : Value.at("routes"))
    Change.Routes.push_back(decodeRoute(Each));
  for (const json &Each : Value.at("removed"))
    Change.RemovedRoutes.emplace_back(Each.get<std::string>());
  for (const json &Each : Value.at("services"))
    Change.Services.push_back(decodeService(Each));
  const json &Limits = Value.at("limits");
  Change.Limits.MaxHeaderBytes = Limits.at(0);
  Change.Limits.MaxBodyBytes = Limits.at(1);
  Change.Limits.HeaderTimeout =
      std::chrono::milliseconds(Limits.at(2).get<std::int64_t>());
  Change.Limits.IdleTimeout =
      std::chrono::milliseconds(Limits.at(3).get<std::int64_t>());
  decodeAccounts(Value, Change);
  return Change;
}

static json encode(const control_state &Orders) {
  json Bases = json::object();
  for (const auto &[Service, Base] : Orders.BaseVersions)
    Bases[Service.str()] = {Base.Version.str(), encode(Base.Revision)};
  json Rollouts = json::array();
  for (const mesh::rollout_record &Record : Orders.Rollouts)
    Rollouts.push_back(encode(Record));
  json Zones = json::array();
  for (const zone_name &Zone : Orders.ZonesOutOfService)
    Zones.push_back(Zone.str());
  return {{"bases", std::move(Bases)},
          {"rollouts", std::move(Rollouts)},
          {"zones_out", std::move(Zones)}};
}

static control_state decodeControlState(const json &Value) {
  control_state Orders;
  for (const auto &[Service, Base] : Value.at("bases").items())
    Orders.BaseVersions[service_name(Service)] = {
        version_name(Base.at(0).get<std::string>()),
        decodeRevision(Base.at(1))};
  for (const json &Each : Value.at("rollouts"))
    Orders.Rollouts.push_back(decodeRollout(Each));
  for (const json &Each : Value.at("zones_out"))
    Orders.ZonesOutOfService.insert(zone_name(Each.get<std::string>()));
  return Orders;
}

static json encode(const feed_cursor &Cursor) {
  return {Cursor.Epoch, Cursor.ConfigVersion, Cursor.ServersRevision,
          Cursor.ControlRevision};
}

static feed_cursor decodeCursorValue(const json &Value) {
  return {Value.at(0).get<std::string>(), Value.at(1), Value.at(2),
          Value.at(3)};
}

std::string encodeCursor(const feed_cursor &Cursor) {
  return encode(Cursor).dump();
}

std::string encodeUpdate(const feed_update &Update) {
  json Value = {{"cursor", encode(Update.Cursor)},
                {"servers_whole", Update.FullServerList},
                {"servers", json::array()},
                {"servers_removed", json::array()}};
  for (const mesh::server_record &Record : Update.Servers)
    Value["servers"].push_back(encode(Record));
  for (const node_id &Node : Update.RemovedServers)
    Value["servers_removed"].push_back(Node.str());
  if (Update.Config)
    Value["config"] = encode(*Update.Config);
  if (Update.ControlState)
    Value["orders"] = encode(*Update.ControlState);
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<feed_cursor> decodeCursor(std::string_view Text) {
  return decodeMessage<feed_cursor>(Text, decodeCursorValue);
}

result<feed_update> decodeUpdate(std::string_view Text) {
  return decodeMessage<feed_update>(Text, [](const json &Value) {
    feed_update Update;
    Update.Cursor = decodeCursorValue(Value.at("cursor"));
    Update.FullServerList = Value.at("servers_whole");
    for (const json &Each : Value.at("servers"))
      Update.Servers.push_back(decodeServer(Each));
    for (const json &Each : Value.at("servers_removed"))
      Update.RemovedServers.emplace_back(Each.get<std::string>());
    if (Value.contains("config"))
      Update.Config = decodeConfigChange(Value["config"]);
    if (Value.contains("orders"))
      Update.ControlState = decodeControlState(Value["orders"]);
    return Update;
  });
}

} // namespace gentianlug::gateway
