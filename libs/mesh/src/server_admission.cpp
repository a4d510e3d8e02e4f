#include "gentianlug/mesh/server_admission.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace gentianlug::mesh {

/// Window for counting the calls that a cold server starts. It is slightly
/// longer than the second to which the limit applies.
static constexpr std::chrono::milliseconds ColdStartWindow{1050};
/// Weight of one call in the moving average of service times.
static constexpr double ServiceTimeWeight = 0.1;
/// Queued calls per slot of the server.
static constexpr std::uint32_t MaxQueuedPerSlot = 2;
/// Calls with less time before their deadline are rejected.
static constexpr std::chrono::milliseconds MinRemainingTime{5};
/// Responses below this size are not limited by the network link.
static constexpr std::size_t LargeResponseBytes = 16UL << 10;
/// Longest send backlog that admits a large response, in addition to the
/// average service time.
static constexpr std::chrono::milliseconds MaxLinkBacklogTime{60};

/// Interval for checking queued calls while the server is cold.
static constexpr std::chrono::milliseconds ColdStartRecheckInterval{50};

const char *describe(rejection_reason Reason) {
  switch (Reason) {
  case rejection_reason::NoServer:
    return "no-server";
  case rejection_reason::Draining:
    return "draining";
  case rejection_reason::Unconfirmed:
    return "unconfirmed";
  case rejection_reason::ZoneOutOfService:
    return "zone-out";
  case rejection_reason::VersionNotServing:
    return "version-closed";
  case rejection_reason::ColdStartLimit:
    return "cold";
  case rejection_reason::RateLimited:
    return "rate-limited";
  case rejection_reason::LinkSaturated:
    return "link-busy";
  case rejection_reason::Overloaded:
    return "busy";
  case rejection_reason::RetryBudgetExhausted:
    return "repeats-spent";
  case rejection_reason::DeadlineTooNear:
    return "late";
  case rejection_reason::Stopping:
    return "stopping";
  }
  return "unknown";
}

void server_admission::setServer(const std::optional<admitted_server> &Next) {
  bool Same = Server && Next && Server->Instance == Next->Instance &&
              Server->Incarnation == Next->Incarnation;
  Server = Next;
  if (Same)
    return;
  Confirmed = false;
  RateLimit = {};
  ServiceTimeMs = 0;
  // The queued calls were addressed to the previous server.
  for (const queued_call &Each : Queue)
    reject(Each.Call.Id, rejection_reason::NoServer);
  Queue.clear();
}

std::optional<rejection_reason>
server_admission::findRejection(const incoming_call &Call,
                                steady_time Now) const {
  if (BlockReason)
    return BlockReason;
  if (!Server || (!Call.Instance.empty() && Call.Instance != Server->Instance))
    return rejection_reason::NoServer;
  if (!Confirmed)
    return rejection_reason::Unconfirmed;
  if (Call.Deadline - Now < MinRemainingTime)
    return rejection_reason::DeadlineTooNear;
  return std::nullopt;
}

void server_admission::reject(local_call_id Id, rejection_reason Reason) {
  Decisions.push_back({admission_decision::kind::Reject, Id, Reason});
}

std::uint32_t server_admission::startsInWindow(steady_time Now) {
  while (!RecentStarts.empty() && Now - RecentStarts.front() >= ColdStartWindow)
    RecentStarts.pop_front();
  return std::uint32_t(RecentStarts.size());
}

std::uint32_t server_admission::coldLimit() const {
  return std::uint32_t(std::max(1.0, std::floor(Server->ColdCallsPerSecond)));
}

bool server_admission::hasCapacity(steady_time Now) {
  std::uint32_t Recent = startsInWindow(Now);
  if (Running.size() >= Server->Slots || !RateLimit.mayStart(Now))
    return false;
  return !isCold(Now) || Recent < coldLimit();
}

std::chrono::milliseconds server_admission::serviceTime() const {
  return std::chrono::milliseconds(std::llround(ServiceTimeMs));
}

std::chrono::milliseconds server_admission::linkBacklogTime() const {
  if (LinkBytesPerSecond <= 0)
    return std::chrono::milliseconds(0);
  auto Bytes = double(UnsentBytes);
  for (const auto &[Id, ResponseBytes] : Running)
    Bytes += double(ResponseBytes);
  constexpr double MillisPerSecond = 1000;
  return std::chrono::milliseconds(
      std::llround(Bytes / LinkBytesPerSecond * MillisPerSecond));
}

/// Returns the key of the account of \p Call for the fair scheduler.
static customer_name fairnessKey(const incoming_call &Call) {
  return customer_name(Call.Account.str());
}

std::vector<server_admission::queued_call>::iterator
server_admission::nextQueued() {
  auto Next = Queue.begin();
  double NextStart = Fairness.virtualStartTime(fairnessKey(Next->Call));
  std::uint32_t Priority = Next->Call.QueuePriority;
  for (auto Each = std::next(Next);
       Each != Queue.end() && Each->Call.QueuePriority == Priority; ++Each) {
    double Start = Fairness.virtualStartTime(fairnessKey(Each->Call));
    if (Start >= NextStart)
      continue;
    Next = Each;
    NextStart = Start;
  }
  return Next;
}

void server_admission::limitQueueLength() {
  if (Queue.size() <= std::size_t(Server->Slots) * MaxQueuedPerSlot)
    return;
  std::uint32_t Priority = Queue.back().Call.QueuePriority;
  auto Lowest = std::find_if(Queue.begin(), Queue.end(), [&](const auto &Each) {
    return Each.Call.QueuePriority == Priority;
  });
  std::map<account_name, std::size_t> Queued;
  for (auto Each = Lowest; Each != Queue.end(); ++Each)
    ++Queued[Each->Call.Account];
  // On a tie the call that has arrived last is displaced.
  auto Displaced = std::prev(Queue.end());
  for (auto Each = Displaced; Each != Lowest;)
    if (--Each; Queued[Each->Call.Account] > Queued[Displaced->Call.Account])
      Displaced = Each;
  reject(Displaced->Call.Id, rejection_reason::Overloaded);
  Queue.erase(Displaced);
}

void server_admission::start(const incoming_call &Call, steady_time Now) {
  Fairness.charge(fairnessKey(Call));
  Running.emplace(Call.Id, Call.ExpectedResponseBytes);
  RecentStarts.push_back(Now);
  RateLimit.onStart(Now);
  if (Call.InheritedRetry)
    RetryBudget.onInheritedRetry();
  else if (!Call.IsRetry)
    RetryBudget.onFirstAttempt();
  Decisions.push_back({admission_decision::kind::Start, Call.Id, {}});
}

void server_admission::submit(const incoming_call &Call, steady_time Now) {
  if (auto Reason = findRejection(Call, Now))
    return reject(Call.Id, *Reason);
  // The link keeps sending while the server processes the call.
  if (Call.ExpectedResponseBytes >= LargeResponseBytes &&
      linkBacklogTime() > MaxLinkBacklogTime + serviceTime())
    return reject(Call.Id, rejection_reason::LinkSaturated);
  if (Call.IsRetry && !RetryBudget.tryAcquire())
    return reject(Call.Id, rejection_reason::RetryBudgetExhausted);
  if (Queue.empty() && hasCapacity(Now))
    return start(Call, Now);
  if (isCold(Now) && Running.size() < Server->Slots)
    return reject(Call.Id, rejection_reason::ColdStartLimit);
  auto ByPriority = [](const queued_call &Left, const queued_call &Right) {
    return Left.Call.QueuePriority < Right.Call.QueuePriority;
  };
  queued_call Next{Call, std::min(Now + Call.MaxQueueTime, Call.Deadline)};
  Queue.insert(std::upper_bound(Queue.begin(), Queue.end(), Next, ByPriority),
               Next);
  limitQueueLength();
  limitQueuedTime(Now);
}

void server_admission::limitQueuedTime(steady_time Now) {
  if (Queue.empty() ||
      RateLimit.timeFor(Queue.size(), Now) <= Queue.back().ExpiresAt)
    return;
  reject(Queue.back().Call.Id, rejection_reason::RateLimited);
  Queue.pop_back();
}

void server_admission::finish(local_call_id Id,
                              std::optional<std::chrono::milliseconds> Time) {
  if (Running.erase(Id) == 0 || !Time)
    return;
  auto Sample = double(Time->count());
  ServiceTimeMs =
      ServiceTimeMs == 0
          ? Sample
          : ServiceTimeMs + ServiceTimeWeight * (Sample - ServiceTimeMs);
}

void server_admission::removeQueued(local_call_id Id) {
  std::erase_if(Queue,
                [&](const queued_call &Each) { return Each.Call.Id == Id; });
}

std::vector<admission_decision> server_admission::advance(steady_time Now) {
  std::erase_if(Queue, [&](const queued_call &Each) {
    auto Reason = findRejection(Each.Call, Now);
    if (!Reason && Now >= Each.ExpiresAt)
      Reason = RateLimit.mayStart(Now) ? rejection_reason::Overloaded
                                       : rejection_reason::RateLimited;
    if (Reason)
      reject(Each.Call.Id, *Reason);
    return Reason.has_value();
  });
  while (!Queue.empty() && hasCapacity(Now)) {
    auto Next = nextQueued();
    start(Next->Call, Now);
    Queue.erase(Next);
  }
  return std::exchange(Decisions, {});
}

std::optional<steady_time> server_admission::nextWakeup(steady_time Now) const {
  if (Queue.empty())
    return std::nullopt;
  steady_time Next = Queue.front().ExpiresAt;
  for (const queued_call &Each : Queue)
    Next = std::min(Next, Each.ExpiresAt);
  if (isCold(Now))
    Next = std::min(Next, Now + ColdStartRecheckInterval);
  if (Running.size() < Server->Slots && !RateLimit.mayStart(Now))
    Next = std::min(Next, RateLimit.timeFor(1, Now));
  return Next;
}

load_report server_admission::report(steady_time Now) const {
  load_report Report;
  Report.Running = running();
  Report.Queued = std::uint32_t(Queue.size());
  // The send backlog delays every response.
  auto Bytes = double(UnsentBytes);
  constexpr double MillisPerSecond = 1000;
  double LinkMs =
      LinkBytesPerSecond > 0 ? Bytes / LinkBytesPerSecond * MillisPerSecond : 0;
  if (ServiceTimeMs > 0)
    Report.ServiceTime = std::chrono::milliseconds(
        std::llround(std::max(ServiceTimeMs, 1.0) + LinkMs));
  if (!Server || !Confirmed || BlockReason)
    return Report;
  // By Little's law, a limit of the call rate limits the concurrent calls.
  double Concurrent = Server->Slots;
  if (isCold(Now))
    Concurrent = std::min(Concurrent, Server->ColdCallsPerSecond *
                                          ServiceTimeMs / MillisPerSecond);
  if (RateLimit.rate())
    Concurrent = std::min(Concurrent,
                          *RateLimit.rate() * ServiceTimeMs / MillisPerSecond);
  Report.ConcurrencyLimit =
      std::uint32_t(std::max(Concurrent, std::min(1.0, double(Server->Slots))));
  return Report;
}

} // namespace gentianlug::mesh
