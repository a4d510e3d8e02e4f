#include "gentianlug/admission/admission_control.h"

#include <algorithm>

namespace gentianlug::admission {

using std::chrono::duration_cast;
using std::chrono::microseconds;

const char *describe(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::QueueFull:
    return "the queue of the server is full";
  case refusal_reason::DeadlineUnreachable:
    return "the deadline cannot be met";
  }
  return "";
}

admission_control::admission_control(std::unique_ptr<limit_policy> L)
    : Limit(std::move(L)), Queue(0) {}

void admission_control::updateCapacity(const server_capacity &Next,
                                       steady_time Now) {
  bool NewLife = Next.Incarnation > Capacity.Incarnation;
  bool NewSize = Next.Slots != Capacity.Slots;
  incarnation_number Latest = std::max(Next.Incarnation, Capacity.Incarnation);
  Capacity = Next;
  Capacity.Incarnation = Latest;
  if (NewLife || NewSize)
    restartCold(Now);
}

void admission_control::restartCold(steady_time Now) {
  Limit->reset(Capacity.Slots, Now);
  ColdStartLimit.reset(Capacity.Slots, Now);
}

void admission_control::observeIncarnation(incarnation_number Seen,
                                           steady_time Now) {
  // Answers of an earlier life may arrive late and change nothing.
  if (Seen <= Capacity.Incarnation)
    return;
  Capacity.Incarnation = Seen;
  restartCold(Now);
}

std::uint32_t admission_control::limit() const {
  return std::min(Limit->limit(), ColdStartLimit.limit());
}

microseconds
admission_control::estimatedServiceTime(const route_name &Route) const {
  // Without calls in flight the estimate would never be corrected, so one
  // call may always try.
  return Started.empty() ? microseconds(0) : Baseline.tailLatency(Route);
}

/// Time that calls may wait in front of a cold server: one usual latency, or
/// this if it is more. Other nodes eject a server whose latency exceeds that of
/// its peers by 20 ms and a factor of 4.
static constexpr microseconds MinColdQueueDelay{20000};

/// Calls that may wait. While the server is cold its queue is short: a long
/// wait in front of it would make it look broken to other nodes.
std::size_t admission_control::queueCapacity(steady_time Now) const {
  microseconds Mean = Baseline.recentMean();
  if (ColdStartLimit.isWarm(Now) || Mean.count() == 0)
    return Capacity.QueueLength;
  auto Bound = std::size_t(std::max(MinColdQueueDelay, Mean) * limit() / Mean);
  return std::min<std::size_t>(Capacity.QueueLength, Bound);
}

void admission_control::offer(const offered_call &Call, steady_time Now) {
  microseconds Needed = estimatedServiceTime(Call.Route);
  auto Rounds = std::int64_t(Queue.size() / limit());
  if (Now + Needed + Baseline.recentMean() * Rounds >= Call.Deadline) {
    PendingRefusals.push_back({admission_action::kind::Refuse, Call.Ticket,
                               refusal_reason::DeadlineUnreachable});
    return;
  }
  // A call that can start at once needs no place in the queue.
  bool Free = Queue.size() == 0 && inFlight() < limit();
  Queue.setBound(Free ? 1 : queueCapacity(Now));
  auto Shed = Queue.push({Call.Ticket, Call.Customer, Call.Route, Call.Priority,
                          Call.Deadline, Call.Deadline - Needed},
                         Shares);
  if (Shed)
    PendingRefusals.push_back(
        {admission_action::kind::Refuse, *Shed, refusal_reason::QueueFull});
}

void admission_control::recordFirstByte(call_ticket Ticket, steady_time Now) {
  auto Entry = Started.find(Ticket);
  if (Entry != Started.end() && !Entry->second.Latency)
    Entry->second.Latency =
        duration_cast<microseconds>(Now - Entry->second.StartTime);
}

microseconds admission_control::finish(const finished_call &Call,
                                       steady_time Now) {
  auto Entry = Started.find(Call.Ticket);
  if (Entry == Started.end())
    return microseconds(0);
  recordFirstByte(Call.Ticket, Now);
  started_call Ended = std::move(Entry->second);
  Started.erase(Entry);
  observeIncarnation(Call.Incarnation, Now);
  call_sample Sample{Call.Failed,     1,  false, Ended.InFlight,
                     Ended.StartTime, Now};
  // The latency of a failed call says nothing about the usual one.
  if (!Call.Failed) {
    auto Compared = Baseline.addSample(Ended.Route, *Ended.Latency,
                                       ColdStartLimit.isWarm(Now));
    Sample.LatencyRatio = Compared.Ratio;
    Sample.LatencySpike = Compared.IsSpike;
  }
  Limit->addSample(Sample);
  ColdStartLimit.addSample(Sample);
  return *Ended.Latency;
}

void admission_control::cancel(call_ticket Ticket) {
  Queue.remove(Ticket);
  Started.erase(Ticket);
}

std::vector<admission_action> admission_control::advance(steady_time Now) {
  std::vector<admission_action> Actions = std::exchange(PendingRefusals, {});
  for (call_ticket Ticket : Queue.popExpired(Now))
    Actions.push_back({admission_action::kind::Refuse, Ticket,
                       refusal_reason::DeadlineUnreachable});
  while (inFlight() < limit()) {
    auto Next = Queue.popNext(Shares);
    if (!Next)
      break;
    Started[Next->Ticket] = {Next->Route, Now, inFlight() + 1, {}};
    Actions.push_back({admission_action::kind::Start, Next->Ticket, {}});
  }
  return Actions;
}

} // namespace gentianlug::admission
