#ifndef GENTIANLUG_STANDINS_SERVER_COUNTERS_H
#define GENTIANLUG_STANDINS_SERVER_COUNTERS_H

#include "gentianlug/core/clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianlug::standins {

/// Most paths that are counted one by one.
inline constexpr std::size_t MaxCountedPaths = 256;

/// What a backend server did, for the checks of tests and experiments.
class server_counters {
public:
  /// \param RanFile gets one line for each order that starts to run, so that
  /// the counts outlive a killed server; empty means no file.
  explicit server_counters(const std::string &RanFile);

  /// Counts a call that starts to run.
  void onRun(const std::string &Path, const std::string *OrderId,
             wall_time Now);

  /// Notes the number of calls in flight.
  void onInFlight(std::size_t Calls);

  /// Counts an answer that a fault made bad.
  void onBadAnswer(wall_time Now);

  void onFellOver() { ++FellOver; }
  void onConnections(std::size_t Open);
  void onProbe() { ++Probes; }
  void onCanceled() { ++Canceled; }
  void onShed() { ++Shed; }

  std::uint64_t ran() const { return Ran; }

  /// Returns how often each order ran.
  nlohmann::json ranByOrder() const { return RanByOrder; }

  /// Returns all counters.
  nlohmann::json toJson() const;

private:
  std::ofstream RanLog;
  std::uint64_t Ran = 0;
  std::uint64_t Errors = 0;
  std::uint64_t FellOver = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Canceled = 0;
  std::uint64_t Shed = 0;
  std::size_t MaxInFlight = 0;
  std::size_t MaxConnections = 0;
  std::int64_t FirstBadMillis = 0;
  std::int64_t LastCallMillis = 0;
  std::map<std::string, std::uint64_t> ByPath;
  std::map<std::string, std::uint64_t> RanByOrder;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_COUNTERS_H
