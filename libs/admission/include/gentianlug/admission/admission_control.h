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

/// Why a call was refused before it started.
enum class refusal_reason : std::uint8_t { QueueFull, DeadlineUnreachable };

/// Returns the reason as plain text.
const char *describe(refusal_reason Reason);

/// A call at the door of the server.
struct offered_call {
  call_ticket Ticket = 0;
  customer_name Customer;
  route_name Route;
  config::call_priority Priority = config::call_priority::Normal;
  steady_time Deadline;
};

/// What the caller of `admission_control` has to do with one call.
struct admission_action {
  enum class kind : std::uint8_t { Start, Refuse };
  kind Kind = kind::Start;
  call_ticket Ticket = 0;
  refusal_reason Reason = refusal_reason::QueueFull;
};

/// The server as the configuration and its announcement describe it.
struct server_capacity {
  std::uint32_t Slots = 1;
  std::uint32_t QueueLength = 20;
  incarnation_number Incarnation = 0;
};

/// The end of a started call.
struct finished_call {
  call_ticket Ticket = 0;
  bool Failed = false;
  /// 0 when the answer names none.
  incarnation_number Incarnation = 0;
};

/// Admission to one server: concurrency limit, cold start and queue.
///
/// Events change the state; `advance` then returns what is to be done.
/// Example: `Admission.offer(Call, Now); for (auto &A :
/// Admission.advance(Now)) ...`
class admission_control {
public:
  explicit admission_control(std::unique_ptr<limit_policy> Limit);

  /// Takes the description of the server. A later incarnation starts cold.
  void updateCapacity(const server_capacity &Capacity, steady_time Now);

  /// Starts from the cold start allowance again.
  void restartCold(steady_time Now);

  void setCustomers(const std::vector<config::customer> &Customers) {
    Shares.setCustomers(Customers);
  }

  void offer(const offered_call &Call, steady_time Now);

  /// The server has begun to answer. The latency counts up to here, since the
  /// rest depends on the size of the answer and the speed of its reader.
  void recordFirstByte(call_ticket Ticket, steady_time Now);

  /// A started call has ended.
  ///
  /// \returns its latency.
  std::chrono::microseconds finish(const finished_call &Call, steady_time Now);

  /// Forgets a call that waits, or one that started and never reached the
  /// server.
  void cancel(call_ticket Ticket);

  /// Returns the calls to start and to refuse now.
  std::vector<admission_action> advance(steady_time Now);

  /// Returns when `advance` has to be called at the latest.
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
  fair_scheduler Shares;
  server_capacity Capacity;
  call_queue Queue;
  std::unordered_map<call_ticket, started_call> Started;
  std::vector<admission_action> PendingRefusals;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_ADMISSION_CONTROL_H
