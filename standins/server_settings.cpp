#include "server_settings.h"

#include "gentianlug/core/clock.h"
#include "gentianlug/settings/object_reader.h"

namespace gentianlug::standins {

using settings::object_reader;
using std::chrono::microseconds;
using std::chrono::milliseconds;

static constexpr milliseconds LongestTime{600000};
static constexpr std::int64_t LargestAnswer = 64 << 20;
/// Keys of the argument that are not part of the behaviour.
static constexpr const char *SettingsKeys[] = {
    "listen", "service", "version", "node_admin", "ran_file", "seed"};

static milliseconds readMillis(object_reader &Reader, const char *Key,
                               milliseconds Fallback) {
  return Reader.duration(Key, milliseconds(0), LongestTime,
                         std::optional(Fallback));
}

static microseconds readMicros(object_reader &Reader, const char *Key,
                               microseconds Fallback) {
  return Reader.duration(Key, microseconds(0), microseconds(LongestTime),
                         std::optional(Fallback));
}

template <class Enum, std::size_t Count>
static Enum readChoice(object_reader &Reader, const char *Key,
                       const std::pair<const char *, Enum> (&Choices)[Count]) {
  std::string Name = Reader.text(Key, Choices[0].first);
  for (const auto &[Text, Value] : Choices)
    if (Name == Text)
      return Value;
  Reader.faults().add(Reader.pathOf(Key), "unknown choice " + Name);
  return Choices[0].second;
}

static server_fault readFault(const nlohmann::json &Json,
                              settings::fault_list &Faults) {
  static constexpr std::pair<const char *, fault_kind> Kinds[] = {
      {"none", fault_kind::None},
      {"fail", fault_kind::Fail},
      {"slow", fault_kind::Slow},
      {"lose_answer", fault_kind::LoseAnswer},
      {"cut_answer", fault_kind::CutAnswer},
      {"swap_answers", fault_kind::SwapAnswers}};
  object_reader Reader(Json, "fault", Faults);
  server_fault Fault;
  Fault.Kind = readChoice(Reader, "kind", Kinds);
  Fault.AfterCalls = Reader.number("after_calls", 0, INT64_MAX, 0);
  Fault.After = readMillis(Reader, "after_ms", Fault.After);
  Fault.AboveInFlight = Reader.number("above_in_flight", 0, 100000, 0);
  Fault.PathPrefix = Reader.text("path", "");
  Fault.Rate = Reader.fraction("rate", 0, 1, 1);
  Fault.SlowFactor = Reader.fraction("slow_factor", 1, 1000, 10);
  Reader.finish();
  return Fault;
}

static void readLimits(object_reader &Reader, server_behaviour &Behaviour) {
  Behaviour.Slots = std::uint32_t(Reader.number("slots", 1, 10000, 10));
  Behaviour.Connections =
      std::uint32_t(Reader.number("connections", 1, 100000, 120));
  Behaviour.Work = readMillis(Reader, "work_ms", Behaviour.Work);
  Behaviour.WorkSpread =
      readMillis(Reader, "work_spread_ms", Behaviour.WorkSpread);
  Behaviour.ConnectCost =
      readMicros(Reader, "connect_cost_us", Behaviour.ConnectCost);
  Behaviour.ProbeCost =
      readMicros(Reader, "probe_cost_us", Behaviour.ProbeCost);
  Behaviour.WarmUp = readMillis(Reader, "warm_up_ms", Behaviour.WarmUp);
  Behaviour.ColdLoad = std::uint32_t(Reader.number("cold_load", 1, 10000, 1));
  Behaviour.FallOverFactor = Reader.fraction("fall_over_factor", 1, 1000, 3);
  Behaviour.FallOverAfter =
      readMillis(Reader, "fall_over_after_ms", Behaviour.FallOverAfter);
  Behaviour.FallOverTime =
      readMillis(Reader, "fall_over_ms", Behaviour.FallOverTime);
  Behaviour.ShedAbove = Reader.number("shed_above", -1, 100000, -1);
}

result<server_behaviour> parseServerBehaviour(const nlohmann::json &Json) {
  static constexpr std::pair<const char *, report_kind> Reports[] = {
      {"true", report_kind::True},
      {"lagging", report_kind::Lagging},
      {"good", report_kind::AlwaysGood},
      {"bad", report_kind::AlwaysBad}};
  settings::fault_list Faults("behaviour");
  object_reader Reader(Json, "", Faults);
  server_behaviour Behaviour;
  readLimits(Reader, Behaviour);
  Behaviour.AnswerBytes = Reader.number("answer_bytes", 0, LargestAnswer, 0);
  Behaviour.Announcing = Reader.flag("announcing", true);
  Behaviour.Report = readChoice(Reader, "report", Reports);
  Behaviour.ReportLag =
      readMillis(Reader, "report_lag_ms", Behaviour.ReportLag);
  if (const nlohmann::json *Fault = Reader.object("fault"))
    Behaviour.Fault = readFault(*Fault, Faults);
  Reader.finish();
  if (!Faults.empty())
    return Faults.toError();
  return Behaviour;
}

result<server_settings> parseServerSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  nlohmann::json Own = nlohmann::json::object();
  server_settings Settings;
  Settings.BehaviourJson = Json;
  for (const char *Key : SettingsKeys)
    if (Json.contains(Key)) {
      Own[Key] = Json[Key];
      Settings.BehaviourJson.erase(Key);
    }
  object_reader Reader(Own, "", Faults);
  wire::server_announcement &Announcement = Settings.Announcement;
  Announcement.Address = Reader.endpoint("listen");
  Announcement.Service = service_name(Reader.text("service"));
  Announcement.Version = version_name(Reader.text("version", "v1"));
  auto Now = gentianlug::system_clock().wallNow().time_since_epoch();
  Announcement.Incarnation =
      incarnation_number(std::chrono::duration_cast<milliseconds>(Now).count());
  Settings.Admin = Reader.endpoint("node_admin");
  Settings.RanFile = Reader.text("ran_file", "");
  Settings.Seed = std::uint64_t(Reader.number("seed", 0, INT64_MAX, 1));
  Reader.finish();
  if (!Faults.empty())
    return Faults.toError();
  auto Behaviour = parseServerBehaviour(Settings.BehaviourJson);
  if (!Behaviour)
    return Behaviour.failure();
  Settings.Behaviour = *Behaviour;
  Announcement.Slots = Behaviour->Slots;
  Announcement.Connections = Behaviour->Connections;
  return Settings;
}

} // namespace gentianlug::standins
