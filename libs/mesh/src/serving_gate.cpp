#include "gentianlug/mesh/serving_gate.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::mesh {

/// Window over which the starts of a cold server are counted; a little longer
/// than the second that the bound is stated for.
static constexpr std::chrono::milliseconds ColdWindow{1050};
/// Weight of one call in the moving average of service times.
static constexpr double ServiceTimeWeight = 0.1;
/// Calls that may wait for each slot.
static constexpr std::uint32_t QueuedPerSlot = 2;
/// A call with less time left is not started.
static constexpr std::chrono::milliseconds MinTimeLeft{5};
/// Answers below this size are sent whatever the link has to do.
static constexpr std::size_t LargeAnswerBytes = 16UL << 10;
/// Time for which large answers may occupy the link beyond the time that the
/// server works for the next one.
static constexpr std::chrono::milliseconds MaxLinkTime{60};

/// How soon the gate looks again while only the cold bound holds calls back.
static constexpr std::chrono::milliseconds ColdRecheck{50};

const char *describe(gate_refusal Reason) {
  switch (Reason) {
  case gate_refusal::NoServer:
    return "no-server";
  case gate_refusal::Draining:
    return "draining";
  case gate_refusal::Unconfirmed:
    return "unconfirmed";
  case gate_refusal::ZoneOut:
    return "zone-out";
  case gate_refusal::VersionClosed:
    return "version-closed";
  case gate_refusal::Cold:
    return "cold";
  case gate_refusal::LinkBusy:
    return "link-busy";
  case gate_refusal::Busy:
    return "busy";
  case gate_refusal::RepeatsSpent:
    return "repeats-spent";
  case gate_refusal::Late:
    return "late";
  case gate_refusal::Stopping:
    return "stopping";
  }
  return "unknown";
}

void serving_gate::setServer(const std::optional<gated_server> &Next) {
  bool Same = Server && Next && Server->Instance == Next->Instance;
  Server = Next;
  if (Same)
    return;
  Confirmed = false;
  ServiceTimeMs = 0;
  // Whatever waits was meant for the server before.
  for (const waiting_call &Each : Queue)
    refuse(Each.Call.Ticket, gate_refusal::NoServer);
  Queue.clear();
}

std::optional<gate_refusal> serving_gate::refusal(const offered_call &Call,
                                                  steady_time Now) const {
  if (Closed)
    return Closed;
  if (!Server || (!Call.Instance.empty() && Call.Instance != Server->Instance))
    return gate_refusal::NoServer;
  if (!Confirmed)
    return gate_refusal::Unconfirmed;
  if (Call.Deadline - Now < MinTimeLeft)
    return gate_refusal::Late;
  return std::nullopt;
}

void serving_gate::refuse(call_ticket Ticket, gate_refusal Reason) {
  Actions.push_back({gate_action::kind::Refuse, Ticket, Reason});
}

std::uint32_t serving_gate::startsInWindow(steady_time Now) {
  while (!Starts.empty() && Now - Starts.front() >= ColdWindow)
    Starts.pop_front();
  return std::uint32_t(Starts.size());
}

std::uint32_t serving_gate::coldLimit() const {
  return std::uint32_t(std::max(1.0, std::floor(Server->ColdCallsPerSecond)));
}

bool serving_gate::mayStart(steady_time Now) {
  std::uint32_t Recent = startsInWindow(Now);
  if (Running.size() >= Server->Slots)
    return false;
  return !isCold(Now) || Recent < coldLimit();
}

std::chrono::milliseconds serving_gate::serviceTime() const {
  return std::chrono::milliseconds(std::llround(ServiceTimeMs));
}

std::chrono::milliseconds serving_gate::linkTime() const {
  if (LinkBytesPerSecond <= 0)
    return std::chrono::milliseconds(0);
  auto Bytes = double(UnsentBytes);
  for (const auto &[Ticket, Call] : Running)
    Bytes += double(Call.ExpectedBytes);
  constexpr double MillisPerSecond = 1000;
  return std::chrono::milliseconds(
      std::llround(Bytes / LinkBytesPerSecond * MillisPerSecond));
}

double serving_gate::repeatShare() const {
  if (Running.empty())
    return 0;
  auto Repeated =
      std::count_if(Running.begin(), Running.end(),
                    [](const auto &Each) { return Each.second.Repeat; });
  return double(Repeated) / double(Running.size());
}

void serving_gate::start(const offered_call &Call, steady_time Now) {
  Running.emplace(Call.Ticket, running_call{Call.Repeat || Call.InheritedRepeat,
                                            Call.ExpectedBytes});
  Starts.push_back(Now);
  if (Call.InheritedRepeat)
    Repeats.onInherited();
  else if (!Call.Repeat)
    Repeats.onFirst();
  Actions.push_back({gate_action::kind::Start, Call.Ticket, {}});
}

void serving_gate::offer(const offered_call &Call, steady_time Now) {
  if (auto Reason = refusal(Call, Now))
    return refuse(Call.Ticket, *Reason);
  // The link goes on sending while the server works.
  if (Call.ExpectedBytes >= LargeAnswerBytes &&
      linkTime() > MaxLinkTime + serviceTime())
    return refuse(Call.Ticket, gate_refusal::LinkBusy);
  if (Call.Repeat && !Repeats.take())
    return refuse(Call.Ticket, gate_refusal::RepeatsSpent);
  if (Queue.empty() && mayStart(Now))
    return start(Call, Now);
  if (isCold(Now) && Running.size() < Server->Slots)
    return refuse(Call.Ticket, gate_refusal::Cold);
  auto Before = [](const waiting_call &Left, const waiting_call &Right) {
    return Left.Call.Rank < Right.Call.Rank;
  };
  waiting_call Next{Call, std::min(Now + Call.MaxWait, Call.Deadline)};
  Queue.insert(std::upper_bound(Queue.begin(), Queue.end(), Next, Before),
               Next);
  if (Queue.size() > std::size_t(Server->Slots) * QueuedPerSlot) {
    refuse(Queue.back().Call.Ticket, gate_refusal::Busy);
    Queue.pop_back();
  }
}

void serving_gate::finish(call_ticket Ticket,
                          std::optional<std::chrono::milliseconds> Time) {
  if (Running.erase(Ticket) == 0 || !Time)
    return;
  auto Sample = double(Time->count());
  ServiceTimeMs =
      ServiceTimeMs == 0
          ? Sample
          : ServiceTimeMs + ServiceTimeWeight * (Sample - ServiceTimeMs);
}

void serving_gate::withdraw(call_ticket Ticket) {
  std::erase_if(Queue, [&](const waiting_call &Each) {
    return Each.Call.Ticket == Ticket;
  });
}

std::vector<gate_action> serving_gate::advance(steady_time Now) {
  std::vector<waiting_call> Kept;
  for (waiting_call &Each : Queue) {
    if (auto Reason = refusal(Each.Call, Now))
      refuse(Each.Call.Ticket, *Reason);
    else if (Now >= Each.LeavesAt)
      refuse(Each.Call.Ticket, gate_refusal::Busy);
    else if (mayStart(Now))
      start(Each.Call, Now);
    else
      Kept.push_back(std::move(Each));
  }
  Queue = std::move(Kept);
  return std::exchange(Actions, {});
}

std::optional<steady_time> serving_gate::nextEvent(steady_time Now) const {
  if (Queue.empty())
    return std::nullopt;
  steady_time Next = Queue.front().LeavesAt;
  for (const waiting_call &Each : Queue)
    Next = std::min(Next, Each.LeavesAt);
  if (isCold(Now))
    Next = std::min(Next, Now + ColdRecheck);
  return Next;
}

serving_report serving_gate::report(steady_time Now) const {
  serving_report Report;
  Report.Running = running();
  Report.Queued = std::uint32_t(Queue.size());
  // What the link has to send delays every answer.
  auto Bytes = double(UnsentBytes);
  constexpr double MillisPerSecond = 1000;
  double LinkMs =
      LinkBytesPerSecond > 0 ? Bytes / LinkBytesPerSecond * MillisPerSecond : 0;
  if (ServiceTimeMs > 0)
    Report.ServiceTime = std::chrono::milliseconds(
        std::llround(std::max(ServiceTimeMs, 1.0) + LinkMs));
  if (!Server || !Confirmed || Closed)
    return Report;
  Report.Limit = Server->Slots;
  if (isCold(Now)) {
    constexpr double MillisPerSecond = 1000;
    double Concurrent =
        Server->ColdCallsPerSecond * ServiceTimeMs / MillisPerSecond;
    Report.Limit =
        std::uint32_t(std::clamp(Concurrent, 1.0, double(Server->Slots)));
  }
  return Report;
}

} // namespace gentianlug::mesh
