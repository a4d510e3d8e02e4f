#ifndef GENTIANLUG_ADMISSION_CALL_QUEUE_H
#define GENTIANLUG_ADMISSION_CALL_QUEUE_H

#include "gentianlug/admission/fair_scheduler.h"
#include "gentianlug/core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gentianlug::admission {

/// Number of a call at this node.
using call_ticket = std::uint64_t;

/// A call that waits for a slot of the server.
struct queued_call {
  call_ticket Ticket = 0;
  customer_name Customer;
  route_name Route;
  config::call_priority Priority = config::call_priority::Normal;
  steady_time Deadline;
  /// The call leaves the queue at this time, since it could not end before
  /// its deadline any more.
  steady_time LatestStart;
};

/// Bounded queue of calls.
///
/// The next call has the highest priority that waits; among those it belongs
/// to the customer furthest below its fair share; among those it has the
/// earliest deadline. When the queue is full, a call of low priority or of a
/// customer above its share gives way. All operations are linear in the bound.
class call_queue {
public:
  explicit call_queue(std::size_t Bound) : Bound(Bound) {}

  /// Changes the bound; calls beyond it stay until they start or leave.
  void setBound(std::size_t Next) { Bound = Next; }

  /// Appends \p Call.
  ///
  /// \returns the call that is refused for it when the queue is full: another
  /// one or \p Call itself.
  std::optional<call_ticket> push(queued_call Call,
                                  const fair_scheduler &Shares);

  /// Takes the next call and charges it to its customer.
  std::optional<queued_call> popNext(fair_scheduler &Shares);

  /// Takes all calls whose latest start has passed.
  std::vector<call_ticket> popExpired(steady_time Now);

  /// Removes a call; returns whether it waited.
  bool remove(call_ticket Ticket);

  /// Returns the earliest latest start of all calls.
  std::optional<steady_time> nextExpiry() const;

  std::size_t size() const { return Calls.size(); }

private:
  std::size_t queuedFor(const customer_name &Customer) const;
  std::size_t indexToShed(const fair_scheduler &Shares) const;

  std::size_t Bound;
  std::vector<queued_call> Calls;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CALL_QUEUE_H
