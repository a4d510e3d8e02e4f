#ifndef GENTIANLUG_ADMISSION_CALL_QUEUE_H
#define GENTIANLUG_ADMISSION_CALL_QUEUE_H

#include "gentianlug/admission/fair_scheduler.h"
#include "gentianlug/core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gentianlug::admission {

/// Identifies a call within this process.
using call_ticket = std::uint64_t;

/// A call that is queued for a slot of the server.
struct queued_call {
  call_ticket Ticket = 0;
  customer_name Customer;
  route_name Route;
  config::call_priority Priority = config::call_priority::Normal;
  steady_time Deadline;
  /// The call is removed from the queue at this time, since it can no longer
  /// finish before its deadline.
  steady_time LatestStart;
};

/// Bounded queue of calls.
///
/// Calls are ordered by priority, then by the virtual start time of their
/// customer (see `fair_scheduler`), then by deadline. When the queue is full, a
/// call of low priority or of a customer above its share is rejected. All
/// operations are linear in the bound, except a push to the full queue, which
/// is quadratic.
class call_queue {
public:
  explicit call_queue(std::size_t Bound) : Bound(Bound) {}

  /// Changes the bound. Calls that are already queued beyond it are kept.
  void setBound(std::size_t NewBound) { Bound = NewBound; }

  /// Appends \p Call.
  ///
  /// \returns the call that is rejected when the queue is full, which may be
  /// \p Call itself.
  std::optional<call_ticket> push(queued_call Call,
                                  const fair_scheduler &Scheduler);

  /// Removes and returns the next call, and charges it to its customer.
  std::optional<queued_call> popNext(fair_scheduler &Scheduler);

  /// Removes and returns all calls whose latest start has passed.
  std::vector<call_ticket> popExpired(steady_time Now);

  /// Removes a call; returns whether it was queued.
  bool remove(call_ticket Ticket);

  /// Returns the earliest latest start of all calls.
  std::optional<steady_time> nextExpiry() const;

  std::size_t size() const { return Calls.size(); }

private:
  std::size_t queuedFor(const customer_name &Customer) const;
  std::size_t indexToShed(const fair_scheduler &Scheduler) const;

  std::size_t Bound;
  std::vector<queued_call> Calls;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CALL_QUEUE_H
