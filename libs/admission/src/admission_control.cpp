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
  bool Restarted = Next.Incarnation > Capacity.Incarnation;
  bool Resized = Next.Slots != Capacity.Slots;
  incarnation_number Incarnation =
      std::max(Next.Incarnation, Capacity.Incarnation);
  Capacity = Next;
  Capacity.Incarnation = Incarnation;
  if (Restarted || Resized)
    restartCold(Now);
}

void admission_control::restartCold(steady_time Now) {
  Limit->reset(Capacity.Slots, Now);
  ColdStartLimit.reset(Capacity.Slots, Now);
}

void admission_control::observeIncarnation(incarnation_number Seen,
                                           steady_time Now) {
  // A delayed response of an earlier incarnation is ignored.
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
  // With no call in flight, one call is always admitted. Otherwise an estimate
  // that is too high would never be corrected.
  return Started.empty() ? microseconds(0) : Baseline.tailLatency(Route);
}

/// Calls to a cold server may be queued for the mean latency, but at least for
/// this time. A longer delay could cause an ejection: other nodes eject a
/// server whose latency exceeds the median by 20 ms and a factor of 4.
static constexpr microseconds MinColdQueueDelay{20000};

/// Returns the bound of the queue. It is small while the server is cold, since
/// other nodes would take a long queueing delay for a fault of the server.
std::size_t admission_control::queueCapacity(steady_time Now) const {
  microseconds Mean = Baseline.recentMean();
  if (ColdStartLimit.isWarm(Now) || Mean.count() == 0)
    return Capacity.QueueLength;
  auto Bound = std::size_t(std::max(MinColdQueueDelay, Mean) * limit() / Mean);
  return std::min<std::size_t>(Capacity.QueueLength, Bound);
}

void admission_control::offer(const offered_call &Call, steady_time Now) {
  microseconds ServiceTime = estimatedServiceTime(Call.Route);
  auto QueuedRounds = std::int64_t(Queue.size() / limit());
  if (Now + ServiceTime + Baseline.recentMean() * QueuedRounds >=
      Call.Deadline) {
    PendingRefusals.push_back({admission_action::kind::Refuse, Call.Ticket,
                               refusal_reason::DeadlineUnreachable});
    return;
  }
  // A call that can start immediately is not subject to the queue bound.
  bool CanStart = Queue.size() == 0 && inFlight() < limit();
  Queue.setBound(CanStart ? 1 : queueCapacity(Now));
  auto Shed = Queue.push({Call.Ticket, Call.Customer, Call.Route, Call.Priority,
                          Call.Deadline, Call.Deadline - ServiceTime},
                         Scheduler);
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
  started_call Finished = std::move(Entry->second);
  Started.erase(Entry);
  observeIncarnation(Call.Incarnation, Now);
  call_sample Sample{Call.Failed,        1,  false, Finished.InFlight,
                     Finished.StartTime, Now};
  // The latency of a failed call is not representative of the route.
  if (!Call.Failed) {
    auto Comparison = Baseline.addSample(Finished.Route, *Finished.Latency,
                                         ColdStartLimit.isWarm(Now));
    Sample.LatencyRatio = Comparison.Ratio;
    Sample.LatencySpike = Comparison.IsSpike;
  }
  Limit->addSample(Sample);
  ColdStartLimit.addSample(Sample);
  return *Finished.Latency;
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
    auto Next = Queue.popNext(Scheduler);
    if (!Next)
      break;
    Started[Next->Ticket] = {Next->Route, Now, inFlight() + 1, {}};
    Actions.push_back({admission_action::kind::Start, Next->Ticket, {}});
  }
  return Actions;
}

} // namespace gentianlug::admission
