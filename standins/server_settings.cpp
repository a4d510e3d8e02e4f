#include "server_settings.h"

#include "gentianlug/core/clock.h"
#include "gentianlug/settings/object_reader.h"

namespace gentianlug::standins {

using settings::object_reader;
using std::chrono::microseconds;
using std::chrono::milliseconds;

static constexpr milliseconds MaxDuration{600000};
static constexpr std::int64_t MaxResponseBytes = 64 << 20;
/// Keys of the program argument that do not belong to the behaviour.
static constexpr const char *NonBehaviourKeys[] = {
    "listen", "service", "version", "node_admin", "ran_file", "seed"};

static milliseconds readMillis(object_reader &Reader, const char *Key,
                               milliseconds Fallback) {
  return Reader.readDuration(Key, milliseconds(0), MaxDuration,
                             std::optional(Fallback));
}

static microseconds readMicros(object_reader &Reader, const char *Key,
                               microseconds Fallback) {
  return Reader.readDuration(Key, microseconds(0), microseconds(MaxDuration),
                             std::optional(Fallback));
}

template <class Enum, std::size_t Count>
static Enum readEnum(object_reader &Reader, const char *Key,
                     const std::pair<const char *, Enum> (&Choices)[Count]) {
  std::string Name = Reader.readString(Key, Choices[0].first);
  for (const auto &[Text, Value] : Choices)
    if (Name == Text)
      return Value;
  Reader.faults().add(Reader.pathOf(Key), "unknown value " + Name);
  return Choices[0].second;
}

static server_fault readFault(const nlohmann::json &Json,
                              settings::fault_list &Faults) {
  static constexpr std::pair<const char *, fault_kind> Kinds[] = {
      {"none", fault_kind::None},
      {"fail", fault_kind::Fail},
      {"slow", fault_kind::Slow},
      {"lose_answer", fault_kind::DropResponse},
      {"cut_answer", fault_kind::TruncateResponse},
      {"swap_answers", fault_kind::SwapResponses}};
  object_reader Reader(Json, "fault", Faults);
  server_fault Fault;
  Fault.Kind = readEnum(Reader, "kind", Kinds);
  Fault.MinCalls = Reader.readInteger("after_calls", 0, INT64_MAX, 0);
  Fault.MinUptime = readMillis(Reader, "after_ms", Fault.MinUptime);
  Fault.MaxUnaffectedInFlight =
      Reader.readInteger("above_in_flight", 0, 100000, 0);
  Fault.PathPrefix = Reader.readString("path", "");
  Fault.Probability = Reader.readDouble("rate", 0, 1, 1);
  Fault.SlowFactor = Reader.readDouble("slow_factor", 1, 1000, 10);
  Reader.reportUnknownKeys();
  return Fault;
}

static void readLimits(object_reader &Reader, server_behaviour &Behaviour) {
  Behaviour.Slots = std::uint32_t(Reader.readInteger("slots", 1, 10000, 10));
  Behaviour.MaxConnections =
      std::uint32_t(Reader.readInteger("connections", 1, 100000, 120));
  Behaviour.ServiceTime = readMillis(Reader, "work_ms", Behaviour.ServiceTime);
  Behaviour.ServiceTimeSpread =
      readMillis(Reader, "work_spread_ms", Behaviour.ServiceTimeSpread);
  Behaviour.ConnectionSetupTime =
      readMicros(Reader, "connect_cost_us", Behaviour.ConnectionSetupTime);
  Behaviour.ProbeTime =
      readMicros(Reader, "probe_cost_us", Behaviour.ProbeTime);
  Behaviour.WarmUpTime = readMillis(Reader, "warm_up_ms", Behaviour.WarmUpTime);
  Behaviour.ColdSlots =
      std::uint32_t(Reader.readInteger("cold_load", 1, 10000, 1));
  Behaviour.CrashLoadFactor = Reader.readDouble("fall_over_factor", 1, 1000, 3);
  Behaviour.OverloadTimeUntilCrash = readMillis(
      Reader, "fall_over_after_ms", Behaviour.OverloadTimeUntilCrash);
  Behaviour.CrashDowntime =
      readMillis(Reader, "fall_over_ms", Behaviour.CrashDowntime);
  Behaviour.MaxQueueLength = Reader.readInteger("shed_above", -1, 100000, -1);
}

result<server_behaviour> parseServerBehaviour(const nlohmann::json &Json) {
  static constexpr std::pair<const char *, load_report_mode> Reports[] = {
      {"true", load_report_mode::Accurate},
      {"lagging", load_report_mode::Delayed},
      {"good", load_report_mode::AlwaysIdle},
      {"bad", load_report_mode::AlwaysUnhealthy}};
  settings::fault_list Faults("behaviour");
  object_reader Reader(Json, "", Faults);
  server_behaviour Behaviour;
  readLimits(Reader, Behaviour);
  Behaviour.ResponseBytes =
      Reader.readInteger("answer_bytes", 0, MaxResponseBytes, 0);
  Behaviour.AnnouncementsEnabled = Reader.readBool("announcing", true);
  Behaviour.LoadReportMode = readEnum(Reader, "report", Reports);
  Behaviour.LoadReportDelay =
      readMillis(Reader, "report_lag_ms", Behaviour.LoadReportDelay);
  if (const nlohmann::json *Fault = Reader.findObject("fault"))
    Behaviour.Fault = readFault(*Fault, Faults);
  Reader.reportUnknownKeys();
  if (!Faults.empty())
    return Faults.toError();
  return Behaviour;
}

result<server_settings> parseServerSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  nlohmann::json NonBehaviour = nlohmann::json::object();
  server_settings Settings;
  Settings.BehaviourJson = Json;
  for (const char *Key : NonBehaviourKeys)
    if (Json.contains(Key)) {
      NonBehaviour[Key] = Json[Key];
      Settings.BehaviourJson.erase(Key);
    }
  object_reader Reader(NonBehaviour, "", Faults);
  wire::server_announcement &Announcement = Settings.Announcement;
  Announcement.Address = Reader.readAddress("listen");
  Announcement.Service = service_name(Reader.readString("service"));
  Announcement.Version = version_name(Reader.readString("version", "v1"));
  auto Now = gentianlug::system_clock().wallNow().time_since_epoch();
  Announcement.Incarnation =
      incarnation_number(std::chrono::duration_cast<milliseconds>(Now).count());
  Settings.NodeAdmin = Reader.readAddress("node_admin");
  Settings.ExecutionLogPath = Reader.readString("ran_file", "");
  Settings.Seed = std::uint64_t(Reader.readInteger("seed", 0, INT64_MAX, 1));
  Reader.reportUnknownKeys();
  if (!Faults.empty())
    return Faults.toError();
  auto Behaviour = parseServerBehaviour(Settings.BehaviourJson);
  if (!Behaviour)
    return Behaviour.failure();
  Settings.Behaviour = *Behaviour;
  Announcement.Slots = Behaviour->Slots;
  Announcement.Connections = Behaviour->MaxConnections;
  return Settings;
}

} // namespace gentianlug::standins
