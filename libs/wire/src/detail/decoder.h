#ifndef GENTIANLUG_WIRE_DETAIL_DECODER_H
#define GENTIANLUG_WIRE_DETAIL_DECODER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"
#include "gentianlug/wire/wire_errc.h"

#include <string>
#include <string_view>

namespace gentianlug::wire::detail {

/// Decodes a JSON object with \p Read and reports all faults as one
/// `wire_errc::MalformedMessage`. Unknown keys are ignored, so that the next
/// release can add fields.
///
/// \param Name name of the message, used in the error text.
template <class T>
result<T> decodeObject(std::string_view Text, const std::string &Name,
                       T (*Read)(settings::object_reader &)) {
  auto Json = settings::parseJson(Text, Name);
  if (!Json)
    return makeError(wire_errc::MalformedMessage, Json.failure().Detail);
  settings::fault_list Faults(Name);
  settings::object_reader Reader(*Json, "", Faults);
  T Value = Read(Reader);
  if (!Faults.empty())
    return makeError(wire_errc::MalformedMessage, Faults.toError().Detail);
  return Value;
}

/// Reads a list of objects at \p Key with \p Read.
template <class T>
std::vector<T> readList(settings::object_reader &Reader, const std::string &Key,
                        T (*Read)(settings::object_reader &)) {
  std::vector<T> Items;
  const nlohmann::json *Array = Reader.findArray(Key);
  if (!Array)
    return Items;
  Items.reserve(Array->size());
  for (const nlohmann::json &Json : *Array) {
    settings::object_reader Item(Json, Reader.pathOf(Key) + "[]",
                                 Reader.faults());
    Items.push_back(Read(Item));
  }
  return Items;
}

/// Latest accepted time. `wall_time` has 64-bit nanoseconds, which overflow in
/// the year 2262.
inline constexpr std::int64_t MaxWallTimeMillis = 7258118400000; // year 2200

/// Reads a time, which is encoded as integer milliseconds since the Unix epoch.
inline wall_time readWallTime(settings::object_reader &Reader,
                              const std::string &Key) {
  return wall_time(
      std::chrono::milliseconds(Reader.readInteger(Key, 0, MaxWallTimeMillis)));
}

/// Returns the encoded form of a time; see `readWallTime`.
inline std::int64_t wallTimeMillis(wall_time Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

inline std::uint64_t readUnsigned(settings::object_reader &Reader,
                                  const std::string &Key,
                                  std::optional<std::int64_t> Fallback = {}) {
  return std::uint64_t(Reader.readInteger(Key, 0, INT64_MAX, Fallback));
}

} // namespace gentianlug::wire::detail

#endif // GENTIANLUG_WIRE_DETAIL_DECODER_H
