#include "server_counters.h"

#include <algorithm>

namespace gentianlug::standins {

static std::int64_t toMillis(wall_time Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

server_counters::server_counters(const std::string &LogPath) {
  if (!LogPath.empty())
    ExecutionLog.open(LogPath, std::ios::app);
}

void server_counters::recordExecution(const std::string &Path,
                                      const std::string *OrderId,
                                      wall_time Now) {
  ++Executions;
  LastCallMillis = toMillis(Now);
  if (ExecutionsByPath.count(Path) || ExecutionsByPath.size() < MaxCountedPaths)
    ++ExecutionsByPath[Path];
  if (!OrderId)
    return;
  ++ExecutionsByOrder[*OrderId];
  if (ExecutionLog.is_open())
    ExecutionLog << *OrderId << '\n' << std::flush;
}

void server_counters::recordInFlight(std::size_t Calls) {
  MaxInFlight = std::max(MaxInFlight, Calls);
}

void server_counters::recordConnections(std::size_t Open) {
  MaxConnections = std::max(MaxConnections, Open);
}

void server_counters::recordFault(wall_time Now) {
  if (Faults++ == 0)
    FirstFaultMillis = toMillis(Now);
}

nlohmann::json server_counters::toJson() const {
  return {{"ran", Executions},
          {"errors", Faults},
          {"fell_over", Crashes},
          {"probes", Probes},
          {"canceled", Canceled},
          {"shed", Shed},
          {"max_in_flight", MaxInFlight},
          {"max_connections", MaxConnections},
          {"first_bad_ms", FirstFaultMillis},
          {"last_call_ms", LastCallMillis},
          {"by_path", ExecutionsByPath}};
}

} // namespace gentianlug::standins
