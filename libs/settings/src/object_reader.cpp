#include "gentianlug/settings/object_reader.h"

#include "gentianlug/core/text.h"
#include "gentianlug/settings/settings_errc.h"

namespace gentianlug::settings {

void fault_list::add(const std::string &Path, const std::string &Reason) {
  Faults.push_back({Path, Reason});
}

error fault_list::toError() const {
  std::string Joined;
  for (const fault &Fault : Faults) {
    if (Joined.size() > MaxFaultBytes)
      break;
    Joined += (Joined.empty() ? "" : "\n") + File + ": " + Fault.Path + ": " +
              Fault.Reason;
  }
  return makeError(settings_errc::BadField, boundText(Joined, MaxFaultBytes));
}

object_reader::object_reader(const nlohmann::json &Json, std::string Path,
                             fault_list &Faults)
    : Json(Json), Path(std::move(Path)), Faults(Faults) {
  if (!Json.is_object())
    Faults.add(this->Path, "must be an object");
}

std::string object_reader::pathOf(const std::string &Key) const {
  return Path.empty() ? Key : Path + "." + Key;
}

const nlohmann::json *object_reader::find(const std::string &Key,
                                          bool Required) {
  Known.insert(Key);
  if (!Json.is_object())
    return nullptr;
  auto Entry = Json.find(Key);
  if (Entry != Json.end())
    return &*Entry;
  if (Required)
    Faults.add(pathOf(Key), "is missing");
  return nullptr;
}

std::string object_reader::text(const std::string &Key,
                                std::optional<std::string> Fallback) {
  const nlohmann::json *Entry = find(Key, !Fallback);
  if (!Entry)
    return Fallback.value_or("");
  bool MayBeEmpty = Fallback && Fallback->empty();
  if (Entry->is_string() &&
      (MayBeEmpty || !Entry->get_ref<const std::string &>().empty()))
    return Entry->get<std::string>();
  Faults.add(pathOf(Key), "must be a non-empty string");
  return Fallback.value_or("");
}

std::int64_t object_reader::number(const std::string &Key, std::int64_t Low,
                                   std::int64_t High,
                                   std::optional<std::int64_t> Fallback) {
  const nlohmann::json *Entry = find(Key, !Fallback);
  if (!Entry)
    return Fallback.value_or(Low);
  // An unsigned value above the signed range would wrap to a negative one.
  bool Fits = Entry->is_number_integer() &&
              (!Entry->is_number_unsigned() ||
               Entry->get<std::uint64_t>() <= std::uint64_t(INT64_MAX));
  if (Fits) {
    auto Value = Entry->get<std::int64_t>();
    if (Value >= Low && Value <= High)
      return Value;
  }
  Faults.add(pathOf(Key), "must be a whole number from " + std::to_string(Low) +
                              " to " + std::to_string(High));
  return Fallback.value_or(Low);
}

double object_reader::fraction(const std::string &Key, double Low, double High,
                               std::optional<double> Fallback) {
  const nlohmann::json *Entry = find(Key, !Fallback);
  if (!Entry)
    return Fallback.value_or(Low);
  if (Entry->is_number()) {
    auto Value = Entry->get<double>();
    if (Value >= Low && Value <= High)
      return Value;
  }
  Faults.add(pathOf(Key), "must be a number from " + std::to_string(Low) +
                              " to " + std::to_string(High));
  return Fallback.value_or(Low);
}

bool object_reader::flag(const std::string &Key, bool Fallback) {
  const nlohmann::json *Entry = find(Key, false);
  if (!Entry)
    return Fallback;
  if (Entry->is_boolean())
    return Entry->get<bool>();
  Faults.add(pathOf(Key), "must be true or false");
  return Fallback;
}

address object_reader::endpoint(const std::string &Key,
                                std::optional<address> Fallback) {
  const nlohmann::json *Entry = find(Key, !Fallback);
  if (!Entry)
    return Fallback.value_or(address{});
  if (Entry->is_string())
    if (auto Parsed = parseAddress(Entry->get_ref<const std::string &>()))
      return *Parsed;
  Faults.add(pathOf(Key), "must be an address of the form HOST:PORT");
  return Fallback.value_or(address{});
}

const nlohmann::json *object_reader::array(const std::string &Key) {
  const nlohmann::json *Entry = find(Key, false);
  if (!Entry || Entry->is_array())
    return Entry;
  Faults.add(pathOf(Key), "must be an array");
  return nullptr;
}

const nlohmann::json *object_reader::object(const std::string &Key) {
  const nlohmann::json *Entry = find(Key, false);
  if (!Entry || Entry->is_object())
    return Entry;
  Faults.add(pathOf(Key), "must be an object");
  return nullptr;
}

void object_reader::finish() {
  if (!Json.is_object())
    return;
  for (const auto &Item : Json.items())
    if (!Known.count(Item.key()))
      Faults.add(pathOf(Item.key()), "is not a known key");
}

} // namespace gentianlug::settings
