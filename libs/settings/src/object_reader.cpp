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
    if (Joined.size() > MaxFaultTextBytes)
      break;
    Joined += (Joined.empty() ? "" : "\n") + File + ": " + Fault.Path + ": " +
              Fault.Reason;
  }
  return makeError(settings_errc::InvalidField,
                   truncateText(Joined, MaxFaultTextBytes));
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

const nlohmann::json *object_reader::findMember(const std::string &Key,
                                                bool Required) {
  ReadKeys.insert(Key);
  if (!Json.is_object())
    return nullptr;
  auto Member = Json.find(Key);
  if (Member != Json.end())
    return &*Member;
  if (Required)
    Faults.add(pathOf(Key), "is missing");
  return nullptr;
}

std::string object_reader::readString(const std::string &Key,
                                      std::optional<std::string> Fallback) {
  const nlohmann::json *Member = findMember(Key, !Fallback);
  if (!Member)
    return Fallback.value_or("");
  bool AllowsEmpty = Fallback && Fallback->empty();
  if (Member->is_string() &&
      (AllowsEmpty || !Member->get_ref<const std::string &>().empty()))
    return Member->get<std::string>();
  Faults.add(pathOf(Key), "must be a non-empty string");
  return Fallback.value_or("");
}

std::int64_t object_reader::readInteger(const std::string &Key,
                                        std::int64_t Min, std::int64_t Max,
                                        std::optional<std::int64_t> Fallback) {
  const nlohmann::json *Member = findMember(Key, !Fallback);
  if (!Member)
    return Fallback.value_or(Min);
  // Unsigned values above INT64_MAX would wrap to negative values.
  bool IsRepresentable =
      Member->is_number_integer() &&
      (!Member->is_number_unsigned() ||
       Member->get<std::uint64_t>() <= std::uint64_t(INT64_MAX));
  if (IsRepresentable) {
    auto Value = Member->get<std::int64_t>();
    if (Value >= Min && Value <= Max)
      return Value;
  }
  Faults.add(pathOf(Key), "must be a whole number from " + std::to_string(Min) +
                              " to " + std::to_string(Max));
  return Fallback.value_or(Min);
}

double object_reader::readDouble(const std::string &Key, double Min, double Max,
                                 std::optional<double> Fallback) {
  const nlohmann::json *Member = findMember(Key, !Fallback);
  if (!Member)
    return Fallback.value_or(Min);
  if (Member->is_number()) {
    auto Value = Member->get<double>();
    if (Value >= Min && Value <= Max)
      return Value;
  }
  Faults.add(pathOf(Key), "must be a number from " + std::to_string(Min) +
                              " to " + std::to_string(Max));
  return Fallback.value_or(Min);
}

bool object_reader::readBool(const std::string &Key, bool Fallback) {
  const nlohmann::json *Member = findMember(Key, false);
  if (!Member)
    return Fallback;
  if (Member->is_boolean())
    return Member->get<bool>();
  Faults.add(pathOf(Key), "must be true or false");
  return Fallback;
}

address object_reader::readAddress(const std::string &Key,
                                   std::optional<address> Fallback) {
  const nlohmann::json *Member = findMember(Key, !Fallback);
  if (!Member)
    return Fallback.value_or(address{});
  if (Member->is_string())
    if (auto Parsed = parseAddress(Member->get_ref<const std::string &>()))
      return *Parsed;
  Faults.add(pathOf(Key), "must be an address of the form HOST:PORT");
  return Fallback.value_or(address{});
}

const nlohmann::json *object_reader::findArray(const std::string &Key) {
  const nlohmann::json *Member = findMember(Key, false);
  if (!Member || Member->is_array())
    return Member;
  Faults.add(pathOf(Key), "must be an array");
  return nullptr;
}

const nlohmann::json *object_reader::findObject(const std::string &Key) {
  const nlohmann::json *Member = findMember(Key, false);
  if (!Member || Member->is_object())
    return Member;
  Faults.add(pathOf(Key), "must be an object");
  return nullptr;
}

void object_reader::reportUnknownKeys() {
  if (!Json.is_object())
    return;
  for (const auto &Item : Json.items())
    if (!ReadKeys.count(Item.key()))
      Faults.add(pathOf(Item.key()), "is not a known key");
}

} // namespace gentianlug::settings
