#ifndef GENTIANLUG_STANDINS_SERVER_SETTINGS_H
#define GENTIANLUG_STANDINS_SERVER_SETTINGS_H

#include "gentianlug/core/address.h"
#include "gentianlug/wire/server_announcement.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianlug::standins {

/// What a faulty version does to the calls that it affects.
enum class fault_kind { None, Fail, Slow, LoseAnswer, CutAnswer, SwapAnswers };

/// A fault of the server's version and the calls that it affects.
struct server_fault {
  fault_kind Kind = fault_kind::None;
  /// The fault begins with this call and after this time of life.
  std::int64_t AfterCalls = 0;
  std::chrono::milliseconds After{0};
  /// The fault shows only while more calls than this are in flight.
  std::int64_t AboveInFlight = 0;
  /// Only calls whose path starts with this; empty means all.
  std::string PathPrefix;
  /// Share of the affected calls, 0 to 1.
  double Rate = 1;
  /// Factor on the work time of slow calls.
  double SlowFactor = 10;
};

/// What the health and load endpoints report.
enum class report_kind { True, Lagging, AlwaysGood, AlwaysBad };

/// Everything that `POST /standin/behaviour` can change.
struct server_behaviour {
  std::uint32_t Slots = 10;
  std::uint32_t Connections = 120;
  std::chrono::milliseconds Work{5};
  /// Work times are spread evenly by up to this much.
  std::chrono::milliseconds WorkSpread{0};
  std::chrono::microseconds ConnectCost{1000};
  std::chrono::microseconds ProbeCost{6000};
  /// A cold server bears `ColdLoad` calls and reaches `Slots` after this time;
  /// 0 means that it never is cold.
  std::chrono::milliseconds WarmUp{0};
  std::uint32_t ColdLoad = 1;
  /// The server falls over when more than `FallOverFactor` times the load
  /// that it bears is in flight for `FallOverAfter`, and is away for
  /// `FallOverTime`.
  double FallOverFactor = 3;
  std::chrono::milliseconds FallOverAfter{200};
  std::chrono::milliseconds FallOverTime{2000};
  /// Calls beyond slots plus this many get status 503; negative means never.
  std::int64_t ShedAbove = -1;
  /// Size of answers; 0 means an echo of the request.
  std::int64_t AnswerBytes = 0;
  bool Announcing = true;
  report_kind Report = report_kind::True;
  std::chrono::milliseconds ReportLag{5000};
  server_fault Fault;
};

/// Settings of a backend server stand-in.
struct server_settings {
  wire::server_announcement Announcement;
  address Admin;
  /// Gets one line for each order that starts to run; empty means no file.
  std::string RanFile;
  std::uint64_t Seed = 1;
  /// The behaviour as JSON, to which later changes are merged.
  nlohmann::json BehaviourJson;
  server_behaviour Behaviour;
};

/// Parses the argument of the program. Keys of the behaviour stand beside the
/// keys of the settings. Errors: `settings_errc::BadField`.
result<server_settings> parseServerSettings(const nlohmann::json &Json);

/// Parses a behaviour. Errors: `settings_errc::BadField`.
result<server_behaviour> parseServerBehaviour(const nlohmann::json &Json);

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_SETTINGS_H
