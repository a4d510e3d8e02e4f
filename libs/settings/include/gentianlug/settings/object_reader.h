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

/// What is wrong with the value at one path.
struct fault {
  std::string Path;
  std::string Reason;
};

/// Longest text that an error makes of a list of faults. Nodes report such
/// texts in their status, where ten of them must fit into one object.
inline constexpr std::size_t MaxFaultBytes = 4000;

/// Collects every fault of one file, as "FILE: PATH: REASON".
class fault_list {
public:
  explicit fault_list(std::string File) : File(std::move(File)) {}

  void add(const std::string &Path, const std::string &Reason);
  bool empty() const { return Faults.empty(); }
  const std::vector<fault> &list() const { return Faults; }

  /// Returns `settings_errc::BadField` with the faults, one a line, up to
  /// `MaxFaultBytes`.
  error toError() const;

private:
  std::string File;
  std::vector<fault> Faults;
};

/// Reads the fields of one JSON object with type and range checks.
///
/// Every wrong field becomes a fault and yields its fallback. `finish` reports
/// the keys that nobody asked for.
///
/// Example: `object_reader R(Json, "limits", Faults); auto S =
/// R.number("slots", 1, 1000, 10); R.finish();`
class object_reader {
public:
  object_reader(const nlohmann::json &Json, std::string Path,
                fault_list &Faults);

  /// Reads a non-empty string; a missing one is a fault unless \p Fallback is
  /// given. An empty fallback also allows an empty string.
  std::string text(const std::string &Key,
                   std::optional<std::string> Fallback = std::nullopt);

  /// Reads a whole number from \p Low to \p High.
  std::int64_t number(const std::string &Key, std::int64_t Low,
                      std::int64_t High,
                      std::optional<std::int64_t> Fallback = std::nullopt);

  /// Reads a number with fraction from \p Low to \p High.
  double fraction(const std::string &Key, double Low, double High,
                  std::optional<double> Fallback = std::nullopt);

  bool flag(const std::string &Key, bool Fallback);

  /// Reads a duration that the file states in whole \p Unit s.
  template <class Unit>
  Unit duration(const std::string &Key, Unit Low, Unit High,
                std::optional<Unit> Fallback = std::nullopt) {
    std::optional<std::int64_t> Count;
    if (Fallback)
      Count = Fallback->count();
    return Unit(number(Key, Low.count(), High.count(), Count));
  }

  /// Reads an address "HOST:PORT".
  address endpoint(const std::string &Key,
                   std::optional<address> Fallback = std::nullopt);

  /// Returns the array or object at \p Key, or null when it is missing; a
  /// value of another type is a fault and also yields null.
  const nlohmann::json *array(const std::string &Key);
  const nlohmann::json *object(const std::string &Key);

  /// Reports unknown keys. Call it after the last field.
  void finish();

  /// Returns the path of \p Key, for further faults.
  std::string pathOf(const std::string &Key) const;

  fault_list &faults() { return Faults; }

private:
  const nlohmann::json *find(const std::string &Key, bool Required);

  const nlohmann::json &Json;
  std::string Path;
  fault_list &Faults;
  std::set<std::string> Known;
};

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_OBJECT_READER_H
