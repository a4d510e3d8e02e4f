#include "gentianlug/admission/call_queue.h"

#include <algorithm>
#include <tuple>

namespace gentianlug::admission {

std::size_t call_queue::queuedFor(const customer_name &Customer) const {
  return std::size_t(
      std::count_if(Calls.begin(), Calls.end(), [&](const queued_call &Call) {
        return Call.Customer == Customer;
      }));
}

/// Returns the index of the call to reject: the one with the lowest priority,
/// then of the customer with the most queued calls per weight, then with the
/// latest deadline. Precondition: the queue is not empty.
std::size_t call_queue::indexToShed(const fair_scheduler &Scheduler) const {
  auto Key = [&](const queued_call &Call) {
    return std::make_tuple(-int(Call.Priority),
                           double(queuedFor(Call.Customer)) /
                               Scheduler.weight(Call.Customer),
                           Call.Deadline);
  };
  auto Worst = std::max_element(Calls.begin(), Calls.end(),
                                [&](const auto &Left, const auto &Right) {
                                  return Key(Left) < Key(Right);
                                });
  return std::size_t(Worst - Calls.begin());
}

std::optional<call_ticket> call_queue::push(queued_call Call,
                                            const fair_scheduler &Scheduler) {
  call_ticket Ticket = Call.Ticket;
  Calls.push_back(std::move(Call));
  if (Calls.size() <= Bound)
    return std::nullopt;
  std::size_t Index = indexToShed(Scheduler);
  // Among calls of one customer and priority, the new call is rejected, since
  // it has waited the shortest time.
  const queued_call &Worst = Calls[Index];
  if (Worst.Priority == Calls.back().Priority &&
      Worst.Customer == Calls.back().Customer)
    Index = Calls.size() - 1;
  Ticket = Calls[Index].Ticket;
  Calls.erase(Calls.begin() + std::ptrdiff_t(Index));
  return Ticket;
}

std::optional<queued_call> call_queue::popNext(fair_scheduler &Scheduler) {
  if (Calls.empty())
    return std::nullopt;
  auto Key = [&](const queued_call &Call) {
    return std::make_tuple(-int(Call.Priority),
                           Scheduler.virtualStartTime(Call.Customer),
                           Call.Deadline);
  };
  auto Best = std::min_element(Calls.begin(), Calls.end(),
                               [&](const auto &Left, const auto &Right) {
                                 return Key(Left) < Key(Right);
                               });
  queued_call Call = std::move(*Best);
  Calls.erase(Best);
  Scheduler.charge(Call.Customer);
  return Call;
}

std::vector<call_ticket> call_queue::popExpired(steady_time Now) {
  std::vector<call_ticket> Expired;
  std::erase_if(Calls, [&](const queued_call &Call) {
    bool Late = Call.LatestStart <= Now;
    if (Late)
      Expired.push_back(Call.Ticket);
    return Late;
  });
  return Expired;
}

bool call_queue::remove(call_ticket Ticket) {
  return std::erase_if(Calls, [&](const queued_call &Call) {
           return Call.Ticket == Ticket;
         }) > 0;
}

std::optional<steady_time> call_queue::nextExpiry() const {
  std::optional<steady_time> Next;
  for (const queued_call &Call : Calls)
    if (!Next || Call.LatestStart < *Next)
      Next = Call.LatestStart;
  return Next;
}

} // namespace gentianlug::admission
