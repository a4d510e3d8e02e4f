#include "caller_settings.h"

#include "gentianlug/settings/object_reader.h"

namespace gentianlug::standins {

using settings::object_reader;
using std::chrono::milliseconds;

static constexpr milliseconds MaxDuration{600000};
static constexpr std::int64_t MaxBodyBytes = 64 << 20;

static milliseconds readMillis(object_reader &Reader, const char *Key,
                               milliseconds Fallback) {
  return Reader.readDuration(Key, milliseconds(0), MaxDuration,
                             std::optional(Fallback));
}

static call_kind readKind(const nlohmann::json &Json, const std::string &Path,
                          settings::fault_list &Faults) {
  object_reader Reader(Json, Path, Faults);
  call_kind Kind;
  Kind.Method = Reader.readString("method", Kind.Method);
  Kind.Path = Reader.readString("path");
  Kind.Weight = Reader.readDouble("weight", 0, 1000000, 1);
  Kind.BodyBytes =
      std::size_t(Reader.readInteger("body_bytes", 0, MaxBodyBytes, 0));
  Kind.ResponseBytes =
      std::size_t(Reader.readInteger("answer_bytes", 0, MaxBodyBytes, 0));
  Reader.reportUnknownKeys();
  return Kind;
}

result<caller_settings> parseCallerSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  nlohmann::json Scalars = Json;
  caller_settings Settings;
  if (Json.is_object() && Json.contains("targets"))
    for (const nlohmann::json &Target : Json["targets"]) {
      auto Address =
          parseAddress(Target.is_string() ? Target.get<std::string>() : "");
      if (Address)
        Settings.Targets.push_back(*Address);
      else
        Faults.add("targets", Address.failure().message());
    }
  if (Json.is_object() && Json.contains("calls"))
    for (const nlohmann::json &Kind : Json["calls"])
      Settings.CallKinds.push_back(readKind(Kind, "calls", Faults));
  if (Scalars.is_object()) {
    Scalars.erase("targets");
    Scalars.erase("calls");
  }
  object_reader Reader(Scalars, "", Faults);
  Settings.CallsPerSecond = Reader.readDouble("rate", 0.001, 1000000, 100);
  Settings.Duration = readMillis(Reader, "duration_ms", Settings.Duration);
  Settings.Seed = std::uint64_t(Reader.readInteger("seed", 0, INT64_MAX, 1));
  Settings.Deadline = readMillis(Reader, "deadline_ms", Settings.Deadline);
  Settings.Timeout = readMillis(Reader, "timeout_ms", Settings.Timeout);
  Settings.Customer = Reader.readString("customer", "");
  Settings.MaxRetries = std::uint32_t(Reader.readInteger("retries", 0, 10, 0));
  Settings.MaxInFlight =
      std::size_t(Reader.readInteger("max_in_flight", 1, 20000, 5000));
  Settings.OrderPrefix =
      Reader.readString("order_prefix", Settings.OrderPrefix);
  Settings.CallsFile = Reader.readString("calls_file", "");
  Reader.reportUnknownKeys();
  if (Settings.Targets.empty())
    Faults.add("targets", "at least one address is required");
  if (Settings.CallKinds.empty())
    Faults.add("calls", "at least one kind of call is required");
  if (!Faults.empty())
    return Faults.toError();
  return Settings;
}

} // namespace gentianlug::standins
