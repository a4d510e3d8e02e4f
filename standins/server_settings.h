#ifndef GENTIANLUG_STANDINS_SERVER_SETTINGS_H
#define GENTIANLUG_STANDINS_SERVER_SETTINGS_H

#include "gentianlug/core/address.h"
#include "gentianlug/wire/server_announcement.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianlug::standins {

/// Effect of a fault on the calls that it affects.
enum class fault_kind {
  None,
  Fail,
  Slow,
  DropResponse,
  TruncateResponse,
  SwapResponses
};

/// A simulated fault of the server's version and the condition for it.
struct server_fault {
  fault_kind Kind = fault_kind::None;
  /// The fault is active once the server has executed this many calls and has
  /// been up for `MinUptime`.
  std::int64_t MinCalls = 0;
  std::chrono::milliseconds MinUptime{0};
  /// The fault is active only while more calls than this are in flight.
  std::int64_t MaxUnaffectedInFlight = 0;
  /// Affects only calls whose path starts with this; empty means all calls.
  std::string PathPrefix;
  /// Probability that a matching call is affected, 0 to 1.
  double Probability = 1;
  /// Factor on the service time of slow calls.
  double SlowFactor = 10;
};

/// How the probe endpoints report the health and load of the server.
enum class load_report_mode { Accurate, Delayed, AlwaysIdle, AlwaysUnhealthy };

/// Behaviour that `POST /standin/behaviour` can change at run time.
struct server_behaviour {
  std::uint32_t Slots = 10;
  std::uint32_t MaxConnections = 120;
  std::chrono::milliseconds ServiceTime{5};
  /// Upper bound of a uniformly distributed time added to `ServiceTime`.
  std::chrono::milliseconds ServiceTimeSpread{0};
  std::chrono::microseconds ConnectionSetupTime{1000};
  std::chrono::microseconds ProbeTime{6000};
  /// Time after a start in which the capacity grows linearly to `Slots`, from
  /// at least `ColdSlots`; 0 means full capacity at once.
  std::chrono::milliseconds WarmUpTime{0};
  std::uint32_t ColdSlots = 1;
  /// The server crashes when more than `CrashLoadFactor` times its capacity is
  /// in flight for `OverloadTimeUntilCrash`. It is down for `CrashDowntime`.
  double CrashLoadFactor = 3;
  std::chrono::milliseconds OverloadTimeUntilCrash{200};
  std::chrono::milliseconds CrashDowntime{2000};
  /// Calls beyond `Slots` plus this many get status 503; negative means no
  /// limit.
  std::int64_t MaxQueueLength = -1;
  /// Size of response bodies; 0 means an echo of the request body.
  std::int64_t ResponseBytes = 0;
  bool AnnouncementsEnabled = true;
  load_report_mode LoadReportMode = load_report_mode::Accurate;
  std::chrono::milliseconds LoadReportDelay{5000};
  server_fault Fault;
};

/// Settings of the backend server stand-in.
struct server_settings {
  wire::server_announcement Announcement;
  address NodeAdmin;
  /// File to which the id of each executed order is appended, one a line;
  /// empty means no file.
  std::string ExecutionLogPath;
  std::uint64_t Seed = 1;
  /// The behaviour as JSON; run-time changes are merged into it.
  nlohmann::json BehaviourJson;
  server_behaviour Behaviour;
};

/// Parses the program argument, in which the keys of the behaviour stand at the
/// same level as the other settings. Errors: `settings_errc::InvalidField`.
result<server_settings> parseServerSettings(const nlohmann::json &Json);

/// Parses a behaviour. Errors: `settings_errc::InvalidField`.
result<server_behaviour> parseServerBehaviour(const nlohmann::json &Json);

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_SETTINGS_H
