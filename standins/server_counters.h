#ifndef GENTIANLUG_STANDINS_SERVER_COUNTERS_H
#define GENTIANLUG_STANDINS_SERVER_COUNTERS_H

#include "gentianlug/core/clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianlug::standins {

/// Number of distinct paths with a counter of their own.
inline constexpr std::size_t MaxCountedPaths = 256;

/// Counters of a backend server, read by tests and benchmarks.
class server_counters {
public:
  /// \param LogPath file to which each executed order id is appended, so that
  /// executions are still known after the server is killed; empty means no
  /// file.
  explicit server_counters(const std::string &LogPath);

  /// Records a call that starts to run.
  void recordExecution(const std::string &Path, const std::string *OrderId,
                       wall_time Now);

  /// Updates the maximum of calls in flight.
  void recordInFlight(std::size_t Calls);

  /// Records a call that is affected by a simulated fault.
  void recordFault(wall_time Now);

  void recordCrash() { ++Crashes; }
  void recordConnections(std::size_t Open);
  void recordProbe() { ++Probes; }
  void recordCancellation() { ++Canceled; }
  void recordShedCall() { ++Shed; }

  std::uint64_t executions() const { return Executions; }

  /// Returns the number of executions by order id.
  nlohmann::json executionsByOrder() const { return ExecutionsByOrder; }

  /// Returns all counters.
  nlohmann::json toJson() const;

private:
  std::ofstream ExecutionLog;
  std::uint64_t Executions = 0;
  std::uint64_t Faults = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Canceled = 0;
  std::uint64_t Shed = 0;
  std::size_t MaxInFlight = 0;
  std::size_t MaxConnections = 0;
  std::int64_t FirstFaultMillis = 0;
  std::int64_t LastCallMillis = 0;
  std::map<std::string, std::uint64_t> ExecutionsByPath;
  std::map<std::string, std::uint64_t> ExecutionsByOrder;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_COUNTERS_H
