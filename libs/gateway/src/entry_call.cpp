#include "entry_call.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::gateway {

using observe::event;

/// Maximum number of nodes tried per call; each refusal costs a round trip.
static constexpr std::size_t MaxNodesTried = 6;
/// Fraction of the target latency that a call may wait for a slot, over all
/// attempts. Longer waits delay calls without more of them completing.
static constexpr double QueueWaitFraction = 0.3;
/// Fraction of the remaining time that a nested call may wait for a slot. It
/// may wait longer because the server has already spent work on the enclosing
/// call.
static constexpr double NestedQueueWaitFraction = 0.5;
/// Minimum expected transfer for which a call waits for a server in the local
/// zone. Most refusals of such calls last only until a narrow link has
/// sent the previous response.
static constexpr std::size_t MinZoneWaitBytes = 32UL << 10;
/// This wait is limited to a fraction of the target latency and to a fixed
/// maximum.
static constexpr double ZoneWaitFraction = 0.25;
static constexpr std::chrono::milliseconds MaxZoneWait{500};
static constexpr std::chrono::milliseconds ZoneRetryInterval{60};
/// A retry requires more remaining time than this fraction of the target
/// latency.
static constexpr double MinRetryTimeFraction = 0.25;
/// A hedged attempt starts while the first one is still running, after this
/// multiple of the server's usual service time ...
static constexpr int HedgeDelayFactor = 4;
/// ... but not before this fraction of the remaining time has passed.
static constexpr double HedgeDelayFraction = 0.4;
/// Weight of a call in the averages of its route.
static constexpr double RouteAverageWeight = 0.1;
static constexpr std::size_t MaxTrackedRoutes = 10000;
/// Mean Retry-After for refused calls, as a fraction of the target latency.
static constexpr double RetryAfterFraction = 0.4;

static std::chrono::milliseconds fractionOf(std::chrono::milliseconds Whole,
                                            double Fraction) {
  return std::chrono::milliseconds(
      std::int64_t(double(Whole.count()) * Fraction));
}

entry_call::entry_call(entry_state &Entry,
                       std::shared_ptr<http1::exchange> Exchange,
                       call_plan Plan)
    : Entry(Entry), Exchange(std::move(Exchange)), Plan(std::move(Plan)),
      DeadlineTimer(Entry.Context.Loop, [this] { onDeadline(); }),
      HedgeTimer(Entry.Context.Loop, [this] { startHedgedAttempt(); }),
      ZoneWaitTimer(Entry.Context.Loop, [this] { retryLocalZone(); }) {}

std::chrono::milliseconds entry_call::remainingTime() const {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Plan.Deadline - Entry.Context.Clock.steadyNow()));
}

std::chrono::milliseconds entry_call::age() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Context.Clock.steadyNow() - Plan.ArrivedAt);
}

void entry_call::start() {
  auto Self = shared_from_this();
  Entry.OpenCalls.emplace(this, Self);
  Exchange->onClientDisconnect([Self] { Self->onCallerDisconnected(); });
  const version_name *Chosen =
      Entry.Versions.chooseVersion(Plan.Service, Entry.Context.Gen);
  if (!Chosen)
    return fail("no-version");
  Version = *Chosen;
  DeadlineTimer.startOnce(remainingTime());
  startNextAttempt();
}

mesh::selection_criteria entry_call::selectionCriteria() const {
  auto Found = Entry.RouteAverages.find(Plan.Route);
  route_averages Averages =
      Found == Entry.RouteAverages.end() ? route_averages{} : Found->second;
  return {.Service = Plan.Service,
          .Version = Version,
          .LocalNode = Entry.Location.Node,
          .LocalZone = Entry.Location.Zone,
          .ZonesOutOfService = Entry.ZonesOutOfService,
          .TriedNodes = TriedNodes,
          .ExpectedTransferBytes = std::size_t(Averages.ResponseBytes) +
                                   Exchange->receivedRequest().Body.size(),
          .TargetTime = Plan.TargetLatency - age(),
          .UsualTime =
              std::chrono::milliseconds(std::llround(Averages.AttemptMillis))};
}

void entry_call::startNextAttempt() {
  auto Now = Entry.Context.Clock.steadyNow();
  mesh::selection_criteria Criteria = selectionCriteria();
  Criteria.LocalZoneOnly = shouldWaitForLocalZone(Criteria);
  bool MayTryMore = TriedNodes.size() < MaxNodesTried;
  const mesh::server_record *Target =
      MayTryMore ? Entry.Balancer.selectServer(Criteria, Entry.Context.Gen, Now)
                 : nullptr;
  if (!Target && Criteria.LocalZoneOnly)
    return ZoneWaitTimer.startOnce(ZoneRetryInterval);
  if (!MayTryMore)
    return fail("all-refused");
  if (!Target) {
    fallBackToBaseVersion();
    Target = Entry.Balancer.selectServer(selectionCriteria(), Entry.Context.Gen,
                                         Now);
  }
  if (!Target)
    return fail("no-server");
  send(*Target);
}

bool entry_call::shouldWaitForLocalZone(
    const mesh::selection_criteria &Criteria) const {
  return Criteria.ExpectedTransferBytes >= MinZoneWaitBytes &&
         DeliveredAttempts == 0 &&
         age() < std::min(fractionOf(Plan.TargetLatency, ZoneWaitFraction),
                          MaxZoneWait) &&
         Entry.Balancer.hasServerInZone(Criteria);
}

void entry_call::retryLocalZone() {
  if (Finished)
    return;
  TriedNodes.clear();
  startNextAttempt();
}

void entry_call::fallBackToBaseVersion() {
  const version_name *Base = Entry.Versions.baseVersion(Plan.Service);
  const mesh::rollout_record *Rollout = Entry.Versions.rollout(Plan.Service);
  if (Base && (!Rollout || Rollout->Stage != mesh::rollout_stage::Switching))
    Version = *Base;
}

call_transport &entry_call::transportFor(bool IsLocal) {
  if (IsLocal)
    return Entry.Local;
  return Entry.Peers;
}

void entry_call::send(const mesh::server_record &Target) {
  auto Self = shared_from_this();
  peer_call Call;
  Call.Instance = Target.Instance;
  Call.Route = Plan.Route;
  Call.CallerService = Entry.LocalService;
  Call.Account = Plan.Account;
  Call.CallId = Plan.CallId;
  Call.RemainingTime = remainingTime();
  Call.MaxQueueTime =
      !Plan.EnclosingId.empty()
          ? fractionOf(remainingTime(), NestedQueueWaitFraction)
          : std::max(std::chrono::milliseconds(0),
                     fractionOf(Plan.TargetLatency, QueueWaitFraction) - age());
  Call.QueuePriority = Plan.QueuePriority;
  Call.Idempotent = Plan.Idempotent;
  Call.IsRetry = DeliveredAttempts > 0;
  Call.InheritedRetry = Plan.InheritedRetry;
  node_id Node = Target.Node;
  TriedNodes.push_back(Node);
  Entry.Balancer.onAttemptStarted(Node);
  bool IsLocal = Node == Entry.Location.Node;
  call_transport &Transport = transportFor(IsLocal);
  auto Ticket =
      Transport.send(Target, Call, Exchange->receivedRequest(),
                     [Self, Node, Instance = Target.Instance,
                      Incarnation = Target.Incarnation](serving_result Result) {
                       Self->readNotice(Result, Instance, Incarnation);
                       Self->onAttemptEnded(Node, std::move(Result));
                     });
  RunningAttempts.push_back(
      {Node, IsLocal, Ticket, Entry.Context.Clock.steadyNow()});
  if (Plan.Idempotent && Plan.MaxAttempts > 1 && RunningAttempts.size() == 1)
    HedgeTimer.startOnce(
        std::max(fractionOf(remainingTime(), HedgeDelayFraction),
                 Entry.Balancer.serviceTime(Node) * HedgeDelayFactor));
}

bool entry_call::canRetry() const {
  return DeliveredAttempts < Plan.MaxAttempts &&
         TriedNodes.size() < MaxNodesTried &&
         remainingTime() > fractionOf(Plan.TargetLatency, MinRetryTimeFraction);
}

static mesh::attempt_result toAttemptResult(const serving_result &Result) {
  constexpr int FirstServerError = 500;
  switch (Result.Outcome) {
  case serving_outcome::Answered:
    if (Result.NestedCallRejected)
      return mesh::attempt_result::Canceled;
    return Result.Response.Status >= FirstServerError
               ? mesh::attempt_result::Failed
               : mesh::attempt_result::Succeeded;
  case serving_outcome::Refused:
    return mesh::attempt_result::Rejected;
  case serving_outcome::Shed:
  case serving_outcome::Unknown:
    return mesh::attempt_result::Failed;
  case serving_outcome::Unreachable:
    return mesh::attempt_result::Unreachable;
  }
  return mesh::attempt_result::Failed;
}

std::chrono::milliseconds entry_call::countAttempt(const node_id &Node,
                                                   serving_outcome Outcome) {
  auto Found = std::find_if(
      RunningAttempts.begin(), RunningAttempts.end(),
      [&](const running_attempt &Attempt) { return Attempt.Node == Node; });
  if (Found == RunningAttempts.end())
    return {};
  bool Delivered = Outcome != serving_outcome::Refused &&
                   Outcome != serving_outcome::Unreachable;
  if (Delivered && !Found->CountedAsDelivered)
    ++DeliveredAttempts;
  if (!Delivered && Found->CountedAsDelivered)
    --DeliveredAttempts;
  auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Context.Clock.steadyNow() - Found->StartedAt);
  RunningAttempts.erase(Found);
  return Time;
}

void entry_call::readNotice(const serving_result &Result,
                            const std::string &Instance,
                            incarnation_number Incarnation) {
  if (Result.Outcome == serving_outcome::Answered &&
      Entry.Context.Dialect.readServerNotice(Result.Response).Leaving)
    Entry.Balancer.onServerLeaving(Instance, Incarnation);
}

void entry_call::onAttemptEnded(const node_id &Node, serving_result Result) {
  auto Time = countAttempt(Node, Result.Outcome);
  Entry.Balancer.onAttemptEnded(Node, toAttemptResult(Result), Result.Report,
                                Entry.Context.Clock.steadyNow());
  if (Finished)
    return;
  if (!Result.Reason.empty())
    recordAttemptOutcome(Node, Result.Reason);
  switch (Result.Outcome) {
  case serving_outcome::Answered:
    return onServerResponse(std::move(Result), Time);
  case serving_outcome::Shed:
  case serving_outcome::Refused:
  case serving_outcome::Unreachable:
    return onAttemptRefused(Result.Reason);
  case serving_outcome::Unknown:
    MayHaveRun = true;
    Entry.Context.Log.write(event::CallFailed, {{"call", Plan.CallId},
                                                {"route", Plan.Route.str()},
                                                {"asked_node", Node.str()},
                                                {"reason", Result.Reason},
                                                {"age_ms", age()}});
    if (!RunningAttempts.empty())
      return;
    if (Plan.Idempotent && canRetry())
      return startNextAttempt();
    return fail(Result.Reason);
  }
}

void entry_call::recordAttemptOutcome(const node_id &Node,
                                      const std::string &Outcome) {
  if (!AttemptSummary.empty())
    AttemptSummary += ", ";
  AttemptSummary.append(Node.str()).append(" ").append(Outcome);
}

void entry_call::onAttemptRefused(const std::string &Reason) {
  LastRefusalReason = Reason;
  if (!RunningAttempts.empty())
    return;
  bool RetryRejected = DeliveredAttempts > 0 && Reason == "repeats-spent";
  if (DeliveredAttempts >= Plan.MaxAttempts || RetryRejected)
    return fail(Reason);
  fallBackToBaseVersion();
  startNextAttempt();
}

void entry_call::recordSuccess(std::size_t ResponseBytes,
                               std::chrono::milliseconds AttemptTime) {
  if (Entry.RouteAverages.size() > MaxTrackedRoutes)
    Entry.RouteAverages.clear();
  auto Bytes = double(ResponseBytes);
  auto Millis = double(AttemptTime.count());
  auto [Found, Added] = Entry.RouteAverages.try_emplace(
      Plan.Route, route_averages{Bytes, Millis});
  route_averages &Averages = Found->second;
  Averages.ResponseBytes +=
      RouteAverageWeight * (Bytes - Averages.ResponseBytes);
  Averages.AttemptMillis +=
      RouteAverageWeight * (Millis - Averages.AttemptMillis);
}

void entry_call::onServerResponse(serving_result Result,
                                  std::chrono::milliseconds AttemptTime) {
  constexpr int FirstServerError = 500;
  bool Failed = Result.Response.Status >= FirstServerError;
  if (!Failed)
    recordSuccess(Result.Response.Body.size(), AttemptTime);
  if (Failed && Plan.Idempotent) {
    MayHaveRun = true;
    ServerErrorResponse = std::move(Result.Response);
    if (!RunningAttempts.empty())
      return;
    if (canRetry() && !Result.NestedCallRejected) {
      Entry.Context.Log.write(event::CallRetried,
                              {{"call", Plan.CallId},
                               {"route", Plan.Route.str()},
                               {"reason", "server-error"},
                               {"tries", std::int64_t(TriedNodes.size())}});
      return startNextAttempt();
    }
    Result.Response = std::move(*ServerErrorResponse);
  }
  if (Failed)
    Entry.Context.Log.write(event::CallFailed,
                            {{"call", Plan.CallId},
                             {"route", Plan.Route.str()},
                             {"reason", "server-error"},
                             {"status", std::int64_t(Result.Response.Status)},
                             {"asked", AttemptSummary},
                             {"age_ms", age()}});
  finish(std::move(Result.Response));
}

void entry_call::startHedgedAttempt() {
  if (Finished || RunningAttempts.size() != 1 ||
      DeliveredAttempts + 1 >= Plan.MaxAttempts ||
      TriedNodes.size() >= MaxNodesTried)
    return;
  auto Now = Entry.Context.Clock.steadyNow();
  if (!Entry.Balancer.hasSpareCapacity(selectionCriteria(), Now))
    return;
  const mesh::server_record *Target =
      Entry.Balancer.selectServer(selectionCriteria(), Entry.Context.Gen, Now);
  if (!Target)
    return;
  // The first attempt has most likely reached its server; its result will tell.
  RunningAttempts.front().CountedAsDelivered = true;
  ++DeliveredAttempts;
  Entry.Context.Log.write(event::CallRetried, {{"call", Plan.CallId},
                                               {"route", Plan.Route.str()},
                                               {"reason", "no-answer-yet"},
                                               {"age_ms", age()}});
  send(*Target);
}

void entry_call::onDeadline() { failDuringAttempts("deadline"); }

void entry_call::onNodeEnding() { failDuringAttempts("node-ending"); }

void entry_call::failDuringAttempts(const std::string &Reason) {
  if (Finished)
    return;
  for (const running_attempt &Attempt : RunningAttempts) {
    MayHaveRun = true;
    recordAttemptOutcome(Attempt.Node, "still running");
  }
  fail(Reason);
}

void entry_call::onCallerDisconnected() {
  auto Self = shared_from_this();
  Finished = true;
  Entry.OpenCalls.erase(this);
  Entry.Context.Metrics.count("calls_total{outcome=\"caller-gone\"}");
  cancelAttempts();
}

void entry_call::cancelAttempts() {
  DeadlineTimer.cancel();
  HedgeTimer.cancel();
  ZoneWaitTimer.cancel();
  for (const running_attempt &Attempt : std::exchange(RunningAttempts, {})) {
    transportFor(Attempt.IsLocal).cancel(Attempt.Ticket);
    Entry.Balancer.onAttemptEnded(Attempt.Node, mesh::attempt_result::Canceled,
                                  std::nullopt,
                                  Entry.Context.Clock.steadyNow());
  }
}

void entry_call::fail(const std::string &Reason) {
  if (ServerErrorResponse)
    return finish(std::move(*ServerErrorResponse));
  constexpr int BadGateway = 502;
  constexpr int Unavailable = 503;
  constexpr int GatewayTimeout = 504;
  if (!MayHaveRun)
    return sendLocalResponse(Unavailable, Reason);
  sendLocalResponse(Reason == "deadline" ? GatewayTimeout : BadGateway, Reason);
}

void entry_call::sendLocalResponse(int Status, const std::string &Reason) {
  constexpr int Unavailable = 503;
  std::optional<std::chrono::milliseconds> RetryAfter;
  if (Status == Unavailable && !Plan.EnclosingId.empty())
    Entry.Local.onNestedCallRejected(Plan.EnclosingId);
  if (Status == Unavailable)
    RetryAfter =
        drawJitter(Entry.Context.Gen,
                   std::max(fractionOf(Plan.TargetLatency, RetryAfterFraction),
                            std::chrono::milliseconds(20)));
  Entry.Context.Log.write(
      Status == Unavailable ? event::CallRefused : event::CallFailed,
      {{"call", Plan.CallId},
       {"route", Plan.Route.str()},
       {"service", Plan.Service.str()},
       {"status", std::int64_t(Status)},
       {"reason", Reason},
       {"last_refusal", LastRefusalReason},
       {"asked", AttemptSummary},
       {"tries", std::int64_t(TriedNodes.size())},
       {"servers", std::int64_t(Entry.Balancer.serverCount(Plan.Service))},
       {"version", Version.str()},
       {"config_version", std::int64_t(Plan.ConfigVersion)},
       {"age_ms", age()}});
  http1::response Response;
  Response.Status = Status;
  Entry.Context.Dialect.addLocalResponseHeaders(Response, Plan.CallId,
                                                RetryAfter);
  finish(std::move(Response));
}

void entry_call::finish(http1::response Response) {
  auto Self = shared_from_this();
  Finished = true;
  Entry.OpenCalls.erase(this);
  cancelAttempts();
  Entry.Context.Metrics.count("calls_total{outcome=\"" +
                              std::to_string(Response.Status) + "\"}");
  Entry.Context.Metrics.observe("call_seconds", age());
  Exchange->respond(std::move(Response));
  // Keep this call alive until the current callback returns; it may belong to a
  // timer of this call.
  Entry.Context.Loop.defer([Self] {});
}

} // namespace gentianlug::gateway
