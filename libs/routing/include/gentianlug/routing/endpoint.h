#ifndef GENTIANLUG_ROUTING_ENDPOINT_H
#define GENTIANLUG_ROUTING_ENDPOINT_H

#include "gentianlug/core/clock.h"
#include "gentianlug/membership/member_record.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::routing {

/// Load that a serving node reports with an answer.
struct reported_load {
  std::uint32_t InFlight = 0;
  /// Calls that its server may run at a time now; 0 when it may run none.
  std::uint32_t Limit = 0;
  std::uint32_t Queued = 0;

  bool operator==(const reported_load &) const = default;
};

/// How a call to an endpoint ended, as far as the endpoint is to blame.
enum class call_outcome : std::uint8_t {
  Responded,
  /// No answer, a server error, or a refusal without being loaded.
  Failed,
  /// Refused because the server is loaded; no fault of the endpoint.
  Shed,
  /// The caller went away first; tells nothing.
  Canceled,
};

/// What an entry node learned from one call.
struct call_observation {
  call_outcome Outcome = call_outcome::Responded;
  std::chrono::microseconds Latency{0};
  std::optional<reported_load> Load;
};

/// A backend server with its node, and what this entry node observed of it.
struct endpoint {
  membership::member_record Member;
  /// Calls of this entry node under way.
  std::uint32_t InFlight = 0;
  std::optional<reported_load> Load;
  steady_time LoadTime{};
  /// Moving average over `Samples` answers.
  std::chrono::microseconds Latency{0};
  std::uint32_t Samples = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// Ejected until then.
  steady_time EjectedUntil{};
  steady_time EjectedSince{};
  /// Ejections in a row, for their growing time.
  std::uint32_t Ejections = 0;

  bool isEjected(steady_time Now) const { return Now < EjectedUntil; }

  /// Returns the calls that the server may run at a time, at least 1.
  std::uint32_t limit(steady_time Now) const;

  /// Returns the calls of this node in flight plus the reported ones.
  std::uint32_t load(steady_time Now) const;

  /// Returns load per limit, the measure that picks compare.
  double utilization(steady_time Now) const {
    return double(load(Now)) / double(limit(Now));
  }

  /// Returns the time that one more call is expected to wait for a slot.
  std::chrono::microseconds expectedWait(steady_time Now) const;
};

/// A reported load counts for this time; after that only the calls of this
/// node count. A serving node with traffic reports far more often.
inline constexpr std::chrono::milliseconds ReportedLoadTtl{1000};

/// Latency that is assumed before the first answer.
inline constexpr std::chrono::microseconds DefaultLatency{5000};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ENDPOINT_H
