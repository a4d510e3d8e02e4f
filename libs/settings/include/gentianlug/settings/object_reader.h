#ifndef GENTIANLUG_SETTINGS_OBJECT_READER_H
#define GENTIANLUG_SETTINGS_OBJECT_READER_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/error.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianlug::settings {

/// A validation fault at a path of a JSON document.
struct fault {
  std::string Path;
  std::string Reason;
};

/// Maximum length of the error text for a list of faults, in bytes. Nodes
/// report these texts in their status, and ten of them must fit into one
/// platform object.
inline constexpr std::size_t MaxFaultTextBytes = 4000;

/// Collects the faults of one file.
class fault_list {
public:
  explicit fault_list(std::string File) : File(std::move(File)) {}

  void add(const std::string &Path, const std::string &Reason);
  bool empty() const { return Faults.empty(); }
  const std::vector<fault> &list() const { return Faults; }

  /// Returns `settings_errc::InvalidField` with one line "FILE: PATH: REASON"
  /// per fault, truncated to `MaxFaultTextBytes`.
  error toError() const;

private:
  std::string File;
  std::vector<fault> Faults;
};

/// Reads the fields of a JSON object with type and range checks.
///
/// An invalid field adds a fault and yields the fallback, or the lower bound or
/// an empty value if there is none. `finish` reports keys that were not read.
///
/// Example: `object_reader R(Json, "limits", Faults); auto S =
/// R.number("slots", 1, 1000, 10); R.finish();`
class object_reader {
public:
  object_reader(const nlohmann::json &Json, std::string Path,
                fault_list &Faults);

  /// Reads a non-empty string. A missing field is a fault unless \p Fallback is
  /// given, as for all required fields. An empty fallback also permits an empty
  /// string.
  std::string readString(const std::string &Key,
                         std::optional<std::string> Fallback = std::nullopt);

  /// Reads an integer in the range \p Min to \p Max.
  std::int64_t readInteger(const std::string &Key, std::int64_t Min,
                           std::int64_t Max,
                           std::optional<std::int64_t> Fallback = std::nullopt);

  /// Reads a floating-point number in the range \p Min to \p Max.
  double readDouble(const std::string &Key, double Min, double Max,
                    std::optional<double> Fallback = std::nullopt);

  bool readBool(const std::string &Key, bool Fallback);

  /// Reads a duration given as an integer count of \p Unit.
  template <class Unit>
  Unit readDuration(const std::string &Key, Unit Min, Unit Max,
                    std::optional<Unit> Fallback = std::nullopt) {
    std::optional<std::int64_t> Count;
    if (Fallback)
      Count = Fallback->count();
    return Unit(readInteger(Key, Min.count(), Max.count(), Count));
  }

  /// Reads an address of the form "HOST:PORT".
  address readAddress(const std::string &Key,
                      std::optional<address> Fallback = std::nullopt);

  /// Returns the array or object at \p Key, or null if it is missing. A value
  /// of another type is a fault and also yields null.
  const nlohmann::json *findArray(const std::string &Key);
  const nlohmann::json *findObject(const std::string &Key);

  /// Adds a fault for each key that was not read. Call after the last field.
  void reportUnknownKeys();

  /// Returns the full path of \p Key, for reporting additional faults.
  std::string pathOf(const std::string &Key) const;

  fault_list &faults() { return Faults; }

private:
  const nlohmann::json *findMember(const std::string &Key, bool Required);

  const nlohmann::json &Json;
  std::string Path;
  fault_list &Faults;
  std::set<std::string> ReadKeys;
};

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_OBJECT_READER_H
