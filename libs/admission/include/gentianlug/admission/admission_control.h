#ifndef GENTIANLUG_ADMISSION_ADMISSION_CONTROL_H
#define GENTIANLUG_ADMISSION_ADMISSION_CONTROL_H

#include "gentianlug/admission/call_queue.h"
#include "gentianlug/admission/cold_start_limit.h"
#include "gentianlug/admission/latency_baseline.h"
#include "gentianlug/admission/limit_policy.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace gentianlug::admission {

/// Reason why a call was refused before it started.
enum class refusal_reason : std::uint8_t { QueueFull, DeadlineUnreachable };

/// Returns a human-readable text for \p Reason.
const char *describe(refusal_reason Reason);

/// A call that requests admission to the server.
struct offered_call {
  call_ticket Ticket = 0;
  customer_name Customer;
  route_name Route;
  config::call_priority Priority = config::call_priority::Normal;
  steady_time Deadline;
};

/// Tells the caller of `admission_control` to start or to refuse a call.
struct admission_action {
  enum class kind : std::uint8_t { Start, Refuse };
  kind Kind = kind::Start;
  call_ticket Ticket = 0;
  refusal_reason Reason = refusal_reason::QueueFull;
};

/// Capacity of the server according to the configuration and the server's
/// announcement.
struct server_capacity {
  std::uint32_t Slots = 1;
  std::uint32_t QueueLength = 20;
  incarnation_number Incarnation = 0;
};

/// Result of a started call.
struct finished_call {
  call_ticket Ticket = 0;
  bool Failed = false;
  /// Incarnation from the response, or 0 when it contains none.
  incarnation_number Incarnation = 0;
};

/// Admission control of one server: concurrency limit, cold start limit and
/// queue.
///
/// Events update the state; `advance` then returns the resulting actions.
/// Example: `Admission.offer(Call, Now); for (auto &A :
/// Admission.advance(Now)) ...`
class admission_control {
public:
  explicit admission_control(std::unique_ptr<limit_policy> Limit);

  /// Sets the capacity of the server. A later incarnation or a new number of
  /// slots restarts it cold.
  void updateCapacity(const server_capacity &Capacity, steady_time Now);

  /// Resets the limits as after a restart of the server.
  void restartCold(steady_time Now);

  void setCustomers(const std::vector<config::customer> &Customers) {
    Scheduler.setCustomers(Customers);
  }

  void offer(const offered_call &Call, steady_time Now);

  /// Records that the server has begun to respond. The latency is measured up
  /// to the first byte, since the rest depends on the size of the response and
  /// the speed of its reader.
  void recordFirstByte(call_ticket Ticket, steady_time Now);

  /// Records the result of a started call.
  ///
  /// \returns the latency of the call.
  std::chrono::microseconds finish(const finished_call &Call, steady_time Now);

  /// Removes a call that is queued, or that was started and never reached the
  /// server.
  void cancel(call_ticket Ticket);

  /// Returns the calls to start and to refuse now.
  std::vector<admission_action> advance(steady_time Now);

  /// Returns the time by which `advance` must be called again.
  std::optional<steady_time> nextEvent() const { return Queue.nextExpiry(); }

  std::uint32_t limit() const;
  std::uint32_t slots() const { return Capacity.Slots; }
  std::uint32_t inFlight() const { return std::uint32_t(Started.size()); }
  std::size_t queued() const { return Queue.size(); }
  bool isWarm(steady_time Now) const { return ColdStartLimit.isWarm(Now); }
  incarnation_number incarnation() const { return Capacity.Incarnation; }

private:
  struct started_call {
    route_name Route;
    steady_time StartTime;
    std::uint32_t InFlight = 1;
    std::optional<std::chrono::microseconds> Latency;
  };

  void observeIncarnation(incarnation_number Seen, steady_time Now);
  std::size_t queueCapacity(steady_time Now) const;
  std::chrono::microseconds estimatedServiceTime(const route_name &Route) const;

  std::unique_ptr<limit_policy> Limit;
  cold_start_limit ColdStartLimit;
  latency_baseline Baseline;
  fair_scheduler Scheduler;
  server_capacity Capacity;
  call_queue Queue;
  std::unordered_map<call_ticket, started_call> Started;
  std::vector<admission_action> PendingRefusals;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_ADMISSION_CONTROL_H
