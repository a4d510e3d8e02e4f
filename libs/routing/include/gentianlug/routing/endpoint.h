#ifndef GENTIANLUG_ROUTING_ENDPOINT_H
#define GENTIANLUG_ROUTING_ENDPOINT_H

#include "gentianlug/core/clock.h"
#include "gentianlug/membership/member_record.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::routing {

/// Load that a serving node reports with a response.
struct reported_load {
  std::uint32_t InFlight = 0;
  /// Current concurrency limit of its server; 0 when it may run no calls.
  std::uint32_t Limit = 0;
  std::uint32_t Queued = 0;

  bool operator==(const reported_load &) const = default;
};

/// Outcome of a call, as far as it tells about the health of the endpoint.
enum class call_outcome : std::uint8_t {
  Responded,
  /// No response, a server error, or a refusal without high load.
  Failed,
  /// Refused because the server is overloaded; not a fault of the endpoint.
  Shed,
  /// The caller disconnected first; tells nothing about the endpoint.
  Canceled,
};

/// What an entry node observed in one call.
struct call_observation {
  call_outcome Outcome = call_outcome::Responded;
  std::chrono::microseconds Latency{0};
  std::optional<reported_load> Load;
};

/// A backend server with its node, and the state observed by this entry node.
struct endpoint {
  membership::member_record Member;
  /// Calls of this entry node in flight.
  std::uint32_t InFlight = 0;
  std::optional<reported_load> Load;
  steady_time LoadTime{};
  /// Moving average over `Samples` responses.
  std::chrono::microseconds Latency{0};
  std::uint32_t Samples = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// The endpoint is ejected before this time.
  steady_time EjectedUntil{};
  steady_time EjectedSince{};
  /// Consecutive ejections, which determine the duration of the next one.
  std::uint32_t Ejections = 0;

  bool isEjected(steady_time Now) const { return Now < EjectedUntil; }

  /// Returns the concurrency limit of the server, at least 1.
  std::uint32_t limit(steady_time Now) const;

  /// Returns the calls of this node in flight plus the reported load.
  std::uint32_t load(steady_time Now) const;

  /// Returns load divided by limit, by which endpoints are compared.
  double utilization(steady_time Now) const {
    return double(load(Now)) / double(limit(Now));
  }

  /// Returns the expected time that another call waits for a slot.
  std::chrono::microseconds expectedWait(steady_time Now) const;
};

/// A reported load is used for this time; after that only the calls of this
/// node count. A serving node with traffic reports far more often.
inline constexpr std::chrono::milliseconds ReportedLoadTtl{1000};

/// Latency that is assumed before the first response.
inline constexpr std::chrono::microseconds DefaultLatency{5000};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_ENDPOINT_H
