#include "detail/json_model.h"

#include <algorithm>
#include <cctype>
#include <ctime>

namespace gentianlug::config::detail {

using settings::fault_list;
using settings::object_reader;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::size_t MaxNameLength = 63;
static constexpr std::size_t MaxPathLength = 1024;
static constexpr std::size_t MaxCallees = 100;

static constexpr const char *PriorityNames[] = {"low", "normal", "high"};

static call_priority readPriority(object_reader &Reader) {
  std::string Text = Reader.readString("priority", "normal");
  for (unsigned Index = 0; Index < std::size(PriorityNames); ++Index)
    if (Text == PriorityNames[Index])
      return call_priority(Index);
  Reader.faults().add(Reader.pathOf("priority"),
                      "must be \"low\", \"normal\" or \"high\"");
  return call_priority::Normal;
}

/// Reads a UTC time of the form "2026-12-04T18:00:00Z".
static wall_time readUtcTime(object_reader &Reader, const std::string &Key) {
  std::string Text = Reader.readString(Key);
  std::tm Fields{};
  const char *End = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &Fields);
  // 64-bit nanoseconds since 1970 overflow in the year 2262.
  bool InRange = Fields.tm_year >= 70 && Fields.tm_year < 300;
  if (End && *End == '\0' && InRange)
    return std::chrono::system_clock::from_time_t(timegm(&Fields));
  Reader.faults().add(Reader.pathOf(Key),
                      "must be a UTC time of the form 2026-12-04T18:00:00Z");
  return {};
}

static std::string formatUtcTime(wall_time Time) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm Fields{};
  gmtime_r(&Seconds, &Fields);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Fields);
  return Text;
}

/// Reads a name. The characters are restricted because names become part of
/// configuration paths and platform keys.
static std::string readName(object_reader &Reader, const std::string &Key) {
  std::string Text = Reader.readString(Key);
  bool IsValid = Text.size() <= MaxNameLength &&
                 std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
                   return std::isalnum(C) || C == '-' || C == '_';
                 });
  if (!IsValid)
    Reader.faults().add(Reader.pathOf(Key),
                        "must have at most 63 letters, digits, - or _");
  return IsValid ? Text : std::string();
}

static availability_zone readZone(object_reader &Reader) {
  availability_zone Zone;
  Zone.Name = zone_name(readName(Reader, "name"));
  Zone.Region = region_name(Reader.readString("region", ""));
  return Zone;
}

static customer readCustomer(object_reader &Reader) {
  customer Customer;
  Customer.Name = customer_name(readName(Reader, "name"));
  Customer.Share = std::uint32_t(Reader.readInteger("share", 1, 1000, 1));
  return Customer;
}

static server_limits readLimits(object_reader &Reader) {
  server_limits Limits;
  Limits.Slots = std::uint32_t(Reader.readInteger("slots", 1, 10000, 10));
  Limits.Connections =
      std::uint32_t(Reader.readInteger("connections", 1, 100000, 100));
  Limits.QueueLength =
      std::uint32_t(Reader.readInteger("queue_length", 0, 10000, 20));
  Limits.ConnectCost = Reader.readDuration("connect_cost_us", microseconds(0),
                                           microseconds(1000000),
                                           std::optional(microseconds(1000)));
  Limits.ProbeCost = Reader.readDuration("probe_cost_us", microseconds(0),
                                         microseconds(1000000),
                                         std::optional(microseconds(1000)));
  Reader.reportUnknownKeys();
  return Limits;
}

static retry_policy readRetries(object_reader &Reader) {
  retry_policy Retries;
  Retries.MaxAttempts = std::uint32_t(Reader.readInteger("max_tries", 1, 5, 3));
  Retries.BudgetRatio = Reader.readDouble("budget", 0, 0.5, 0.1);
  Reader.reportUnknownKeys();
  return Retries;
}

static std::vector<service_name> readCallees(object_reader &Reader) {
  std::vector<service_name> Calls;
  const nlohmann::json *Array = Reader.findArray("calls");
  if (!Array)
    return Calls;
  if (Array->size() > MaxCallees)
    Reader.faults().add(Reader.pathOf("calls"), "has more than 100 services");
  for (const nlohmann::json &Name : *Array) {
    if (Name.is_string())
      Calls.emplace_back(Name.get<std::string>());
    else
      Reader.faults().add(Reader.pathOf("calls"),
                          "must be a list of service names");
  }
  return Calls;
}

static service readService(object_reader &Reader) {
  service Service;
  Service.Name = service_name(readName(Reader, "name"));
  Service.Version = version_name(Reader.readString("version"));
  if (const auto *Json = Reader.findObject("limits")) {
    object_reader Limits(*Json, Reader.pathOf("limits"), Reader.faults());
    Service.Limits = readLimits(Limits);
  }
  if (const auto *Json = Reader.findObject("retries")) {
    object_reader Retries(*Json, Reader.pathOf("retries"), Reader.faults());
    Service.RetryPolicy = readRetries(Retries);
  }
  Service.Calls = readCallees(Reader);
  return Service;
}

static route readRoute(object_reader &Reader) {
  route Route;
  Route.Name = route_name(readName(Reader, "name"));
  Route.PathPrefix = Reader.readString("path");
  if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
    Reader.faults().add(Reader.pathOf("path"), "must start with /");
  if (Route.PathPrefix.size() > MaxPathLength)
    Reader.faults().add(Reader.pathOf("path"), "is longer than 1024 bytes");
  Route.Service = service_name(Reader.readString("service"));
  Route.Idempotent = Reader.readBool("idempotent", false);
  Route.Deadline =
      Reader.readDuration("deadline_ms", milliseconds(1), milliseconds(600000),
                          std::optional(milliseconds(2000)));
  Route.Priority = readPriority(Reader);
  Route.MaxBodyBytes =
      std::uint64_t(Reader.readInteger("max_body_bytes", 0, 64 << 20, 1 << 20));
  return Route;
}

static rollout readRollout(object_reader &Reader) {
  rollout Rollout;
  Rollout.Service = service_name(readName(Reader, "service"));
  Rollout.Version = version_name(Reader.readString("version"));
  Rollout.FinishBy = readUtcTime(Reader, "finish_by");
  Rollout.MaxShareBeforeVerdict =
      Reader.readDouble("max_share_before_verdict", 0.001, 0.05, 0.05);
  return Rollout;
}

const char *entryNameKey(const std::string &Section) {
  static constexpr const char *NamedSections[] = {
      "availability_zones", "customers", "services", "routes"};
  if (Section == "rollouts")
    return "service";
  for (const char *Name : NamedSections)
    if (Section == Name)
      return "name";
  return nullptr;
}

/// Returns the path of an entry of \p Section: by name if it has one, which
/// operators recognize more easily, otherwise by index.
static std::string entryPath(const std::string &List,
                             const std::string &Section, std::size_t Index,
                             const nlohmann::json &Entry) {
  auto Name =
      Entry.is_object() ? Entry.find(entryNameKey(Section)) : Entry.end();
  if (Entry.is_object() && Name != Entry.end() && Name->is_string())
    return List + "." + Name->get<std::string>();
  return List + "[" + std::to_string(Index) + "]";
}

template <class Entry>
static std::vector<Entry> readList(object_reader &Reader,
                                   const std::string &Key,
                                   Entry (*Read)(object_reader &)) {
  std::vector<Entry> Entries;
  const nlohmann::json *Array = Reader.findArray(Key);
  if (!Array)
    return Entries;
  Entries.reserve(Array->size());
  for (std::size_t Index = 0; Index < Array->size(); ++Index) {
    std::string Path =
        entryPath(Reader.pathOf(Key), Key, Index, (*Array)[Index]);
    object_reader Item((*Array)[Index], Path, Reader.faults());
    Entries.push_back(Read(Item));
    Item.reportUnknownKeys();
  }
  return Entries;
}

site_configuration readConfiguration(object_reader &Reader) {
  site_configuration Configuration;
  Configuration.Site = site_name(Reader.readString("site"));
  Configuration.ZoneRoundTrip = Reader.readDuration(
      "zone_round_trip_us", microseconds(0), microseconds(1000000),
      std::optional(microseconds(1000)));
  Configuration.Zones = readList(Reader, "availability_zones", readZone);
  Configuration.Customers = readList(Reader, "customers", readCustomer);
  Configuration.Services = readList(Reader, "services", readService);
  Configuration.Routes = readList(Reader, "routes", readRoute);
  Configuration.Rollouts = readList(Reader, "rollouts", readRollout);
  Reader.reportUnknownKeys();
  sortConfiguration(Configuration);
  return Configuration;
}

void sortConfiguration(site_configuration &Configuration) {
  std::stable_sort(
      Configuration.Services.begin(), Configuration.Services.end(),
      [](const service &A, const service &B) { return A.Name < B.Name; });
  std::stable_sort(Configuration.Routes.begin(), Configuration.Routes.end(),
                   [](const route &A, const route &B) {
                     if (A.PathPrefix.size() != B.PathPrefix.size())
                       return A.PathPrefix.size() > B.PathPrefix.size();
                     return A.PathPrefix < B.PathPrefix;
                   });
  std::stable_sort(
      Configuration.Rollouts.begin(), Configuration.Rollouts.end(),
      [](const rollout &A, const rollout &B) { return A.Service < B.Service; });
}

nlohmann::json toJson(const availability_zone &Zone) {
  return {{"name", Zone.Name.str()}, {"region", Zone.Region.str()}};
}

nlohmann::json toJson(const customer &Customer) {
  return {{"name", Customer.Name.str()}, {"share", Customer.Share}};
}

nlohmann::json toJson(const service &Service) {
  const server_limits &Limits = Service.Limits;
  nlohmann::json Json{{"name", Service.Name.str()},
                      {"version", Service.Version.str()},
                      {"limits",
                       {{"slots", Limits.Slots},
                        {"connections", Limits.Connections},
                        {"queue_length", Limits.QueueLength},
                        {"connect_cost_us", Limits.ConnectCost.count()},
                        {"probe_cost_us", Limits.ProbeCost.count()}}},
                      {"retries",
                       {{"max_tries", Service.RetryPolicy.MaxAttempts},
                        {"budget", Service.RetryPolicy.BudgetRatio}}}};
  for (const service_name &Callee : Service.Calls)
    Json["calls"].push_back(Callee.str());
  return Json;
}

nlohmann::json toJson(const route &Route) {
  return {{"name", Route.Name.str()},
          {"path", Route.PathPrefix},
          {"service", Route.Service.str()},
          {"idempotent", Route.Idempotent},
          {"deadline_ms", Route.Deadline.count()},
          {"priority", PriorityNames[unsigned(Route.Priority)]},
          {"max_body_bytes", Route.MaxBodyBytes}};
}

nlohmann::json toJson(const rollout &Rollout) {
  return {{"service", Rollout.Service.str()},
          {"version", Rollout.Version.str()},
          {"finish_by", formatUtcTime(Rollout.FinishBy)},
          {"max_share_before_verdict", Rollout.MaxShareBeforeVerdict}};
}

template <class Entries>
static nlohmann::json toObjectByName(const std::string &Section,
                                     const Entries &List) {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &Entry : List) {
    nlohmann::json Item = toJson(Entry);
    std::string Name = Item[entryNameKey(Section)].template get<std::string>();
    Json[Name] = std::move(Item);
  }
  return Json;
}

nlohmann::json toJsonByName(const site_configuration &Configuration) {
  return {{"zone_round_trip_us", Configuration.ZoneRoundTrip.count()},
          {"availability_zones",
           toObjectByName("availability_zones", Configuration.Zones)},
          {"customers", toObjectByName("customers", Configuration.Customers)},
          {"services", toObjectByName("services", Configuration.Services)},
          {"routes", toObjectByName("routes", Configuration.Routes)},
          {"rollouts", toObjectByName("rollouts", Configuration.Rollouts)}};
}

} // namespace gentianlug::config::detail
