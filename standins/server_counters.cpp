#include "server_counters.h"

#include <algorithm>

namespace gentianlug::standins {

static std::int64_t toMillis(wall_time Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

server_counters::server_counters(const std::string &RanFile) {
  if (!RanFile.empty())
    RanLog.open(RanFile, std::ios::app);
}

void server_counters::onRun(const std::string &Path, const std::string *OrderId,
                            wall_time Now) {
  ++Ran;
  LastCallMillis = toMillis(Now);
  if (ByPath.count(Path) || ByPath.size() < MaxCountedPaths)
    ++ByPath[Path];
  if (!OrderId)
    return;
  ++RanByOrder[*OrderId];
  if (RanLog.is_open())
    RanLog << *OrderId << '\n' << std::flush;
}

void server_counters::onInFlight(std::size_t Calls) {
  MaxInFlight = std::max(MaxInFlight, Calls);
}

void server_counters::onConnections(std::size_t Open) {
  MaxConnections = std::max(MaxConnections, Open);
}

void server_counters::onBadAnswer(wall_time Now) {
  if (Errors++ == 0)
    FirstBadMillis = toMillis(Now);
}

nlohmann::json server_counters::toJson() const {
  return {{"ran", Ran},
          {"errors", Errors},
          {"fell_over", FellOver},
          {"probes", Probes},
          {"canceled", Canceled},
          {"shed", Shed},
          {"max_in_flight", MaxInFlight},
          {"max_connections", MaxConnections},
          {"first_bad_ms", FirstBadMillis},
          {"last_call_ms", LastCallMillis},
          {"by_path", ByPath}};
}

} // namespace gentianlug::standins
