#include "gentianlug/gateway/serving_task.h"

#include "gentianlug/core/weak_callback.h"
#include "gentianlug/gateway/feed_task.h"
#include "gentianlug/gateway/usage_messages.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/wire/rollout_values.h"
#include "response_limits.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace gentianlug::gateway {

using observe::event;

/// The server is on the same machine.
static constexpr std::chrono::milliseconds ServerConnectTimeout{500};
/// Non-idempotent calls only reuse connections that were used within this time:
/// a server may drop an idle connection, and after a reset it is unknown
/// whether the call was executed.
static constexpr std::chrono::milliseconds AtMostOnceMaxIdle{200};
static constexpr std::chrono::milliseconds IdempotentMaxIdle{5000};
/// Number of consecutive lost responses after which the server is probed.
static constexpr std::uint32_t LostResponsesBeforeProbe = 3;
static constexpr std::chrono::milliseconds ProbeInterval{300};
static constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// Weight of a response in the moving average of response sizes.
static constexpr double ResponseSizeWeight = 0.1;
static constexpr std::size_t MaxTrackedRoutes = 10000;
/// Time for which the server may go on with a call that has ended here.
static constexpr std::chrono::milliseconds EndedCallMemory{5000};
static constexpr std::size_t MaxEndedCalls = 2000;
/// Shorter IDs of callers are not taken for the beginning of another ID.
static constexpr std::size_t MinEnclosingIdLength = 8;

namespace {

struct serving_call {
  peer_call Call;
  http1::request Request;
  call_transport::callback Done;
  steady_time QueuedAt;
  steady_time Deadline;
  steady_time StartedAt{};
  std::optional<http1::client_pool::ticket> PoolTicket;
  /// The mesh rejected a call that the server made for this call.
  bool NestedCallRejected = false;
};

/// What the health check of an unconfirmed server has shown so far.
enum class health_verdict : std::uint8_t {
  /// No check has ended.
  Pending,
  /// The last check got no response, or the server had no room for it.
  Unknown,
  /// The server itself has answered that it fails or is leaving.
  Unhealthy,
};

} // namespace

struct serving_task::impl : std::enable_shared_from_this<serving_task::impl> {
  task_context Context;
  http1::link_pacer &Pacer;
  mesh::server_admission Admission;
  std::optional<local_server> Server;
  http1::client_pool Pool;
  std::unique_ptr<http1::server> Listener;
  std::unordered_map<ticket, serving_call> Calls;
  ticket LastTicket = 0;
  net::timer AdmissionTimer;
  net::timer ProbeTimer;
  net::timer ProbeTimeoutTimer;
  std::optional<http1::client_pool::ticket> Probe;
  steady_time ProbeSentAt{};
  health_verdict Verdict = health_verdict::Pending;
  std::uint32_t ConsecutiveLostResponses = 0;
  /// Server instance that has announced itself since this node started.
  std::string AnnouncedInstance;
  std::map<route_name, rollout::route_evidence> Evidence;
  std::uint32_t EvidenceStarts = 0;
  std::uint64_t EvidenceSequence = 0;
  std::function<void(const rollout::server_evidence &)> EvidenceHandler;
  std::function<void(std::shared_ptr<http1::exchange>)> FollowerPollHandler;
  std::function<void(http1::exchange &)> UsageHandler;
  std::function<void(const account_name &, std::optional<steady_time>)>
      AccountCallHandler;
  std::function<void(const std::string &Instance)> LeavingHandler;
  std::function<void(const std::string &Instance)> DeniedHandler;
  /// Calls that were sent to the server and have ended, oldest first.
  struct ended_call {
    std::string CallId;
    steady_time EndedAt;
  };
  std::deque<ended_call> EndedCalls;
  steady_time StartedAt;
  /// When the server last named a limit of calls per second.
  steady_time LimitNamedAt{};

  std::unordered_map<route_name, double> AverageResponseBytes;
  std::function<std::size_t()> OtherUnsentBytes;

  impl(task_context Context, double LinkBytesPerSecond,
       http1::link_pacer &Pacer)
      : Context(Context), Pacer(Pacer),
        Pool(Context.Loop, ResponseLimits, {}, &Context.Memory),
        AdmissionTimer(Context.Loop, [this] { advance(); }),
        ProbeTimer(Context.Loop, [this] { probe(); }),
        ProbeTimeoutTimer(Context.Loop, [this] { onProbeTimeout(); }),
        StartedAt(Context.Clock.steadyNow()) {
    Admission.setLinkBytesPerSecond(LinkBytesPerSecond);
  }

  steady_time now() const { return Context.Clock.steadyNow(); }

  void onEvidence(http1::exchange &Exchange) {
    constexpr int Ok = 200;
    constexpr int BadRequest = 400;
    auto Evidence =
        wire::decodeServerEvidence(Exchange.receivedRequest().Body.str());
    if (!Evidence)
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange.clientAddress().str()},
                         {"reason", Evidence.failure().message()}});
    else if (EvidenceHandler)
      EvidenceHandler(*Evidence);
    Exchange.respond(http1::makeStatusResponse(Evidence ? Ok : BadRequest));
  }

  void onRequest(std::shared_ptr<http1::exchange> Exchange) {
    if (Exchange->receivedRequest().Target == EvidencePath)
      return onEvidence(*Exchange);
    const std::string &Target = Exchange->receivedRequest().Target;
    if ((Target == FeedPath || Target == SubstituteFeedPath) &&
        FollowerPollHandler)
      return FollowerPollHandler(std::move(Exchange));
    if (Target == UsagePath && UsageHandler)
      return UsageHandler(*Exchange);
    auto Call = extractPeerCall(Exchange->receivedRequest());
    if (!Call) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange->clientAddress().str()},
                         {"reason", "no call of a node"}});
      constexpr int BadRequest = 400;
      Exchange->respond(http1::makeStatusResponse(BadRequest));
      return;
    }
    if (Call->CallId.empty())
      Call->CallId =
          Context.Dialect.readCallParameters(Exchange->receivedRequest())
              .CallId;
    ticket Ticket =
        enqueue(*Call, std::move(Exchange->receivedRequest()),
                [Exchange](serving_result Result) {
                  Exchange->respond(encodeServingResult(std::move(Result)));
                });
    Exchange->onClientDisconnect(
        bindWeakly(shared_from_this(), [Ticket](impl &Self) {
          Self.cancel(Ticket, "caller-gone");
        }));
    advance();
  }

  /// Lets the other node read from the response that its call was not run.
  void decorateRefusal(http1::response &Response) const {
    constexpr int Unavailable = 503;
    if (Response.Status == Unavailable)
      Response = encodeServingResult({serving_outcome::Refused,
                                      {},
                                      "node-out-of-memory",
                                      false,
                                      Admission.report(now())});
  }

  std::size_t expectedResponseBytes(const route_name &Route) const {
    auto Found = AverageResponseBytes.find(Route);
    return Found == AverageResponseBytes.end() ? 0 : std::size_t(Found->second);
  }

  void recordResponseSize(const route_name &Route, std::size_t Bytes) {
    if (AverageResponseBytes.size() > MaxTrackedRoutes)
      AverageResponseBytes.clear();
    auto [Found, Added] =
        AverageResponseBytes.try_emplace(Route, double(Bytes));
    Found->second += ResponseSizeWeight * (double(Bytes) - Found->second);
  }

  std::size_t unsentBytes() const {
    return Listener ? Listener->unsentBytes() : 0;
  }

  void updateUnsentBytes() {
    Admission.setUnsentBytes(unsentBytes() +
                             (OtherUnsentBytes ? OtherUnsentBytes() : 0));
  }

  ticket enqueue(const peer_call &Call, http1::request Request, callback Done) {
    ticket Ticket = ++LastTicket;
    steady_time Now = now();
    steady_time Deadline = Now + Call.RemainingTime;
    Calls.emplace(
        Ticket,
        serving_call{
            Call, std::move(Request), std::move(Done), Now, Deadline, {}, {}});
    updateUnsentBytes();
    Admission.submit(
        {.Id = Ticket,
         .Instance = Call.Instance,
         .QueuePriority = Call.QueuePriority,
         .Account = Call.Account,
         .Deadline = Deadline,
         .MaxQueueTime = Call.MaxQueueTime,
         .IsRetry = Call.IsRetry,
         .InheritedRetry = Call.InheritedRetry,
         .ExpectedResponseBytes = expectedResponseBytes(Call.Route)},
        Now);
    return Ticket;
  }

  void advance() {
    steady_time Now = now();
    for (const mesh::admission_decision &Decision : Admission.advance(Now)) {
      if (Decision.Kind == mesh::admission_decision::kind::Start)
        start(Decision.Id, Now);
      else
        reject(Decision.Id, Decision.Reason);
    }
    if (auto Next = Admission.nextWakeup(Now))
      AdmissionTimer.startOnce(std::max(
          std::chrono::duration_cast<std::chrono::microseconds>(*Next - Now),
          std::chrono::microseconds(1000)));
  }

  void start(ticket Ticket, steady_time Now) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end()) {
      Admission.finish(Ticket, std::nullopt);
      return;
    }
    serving_call &Call = Found->second;
    Call.StartedAt = Now;
    ++EvidenceStarts;
    reportAccountCall(Call, std::nullopt);
    http1::request Request = std::move(Call.Request);
    Context.Dialect.writeServerCall(
        Request, {std::chrono::duration_cast<std::chrono::milliseconds>(
                      Call.Deadline - Now),
                  Server->Admission.Instance, Call.Call.CallerService,
                  Call.Call.Account});
    http1::send_options Options{ServerConnectTimeout,
                                Call.Call.Idempotent ? IdempotentMaxIdle
                                                     : AtMostOnceMaxIdle,
                                Context.Dialect.echoedHeader()};
    Call.PoolTicket = Pool.send(Server->Address, std::move(Request), Options,
                                [this, Ticket](http1::send_result Result) {
                                  onServerResponse(Ticket, std::move(Result));
                                  advance();
                                });
  }

  void reportAccountCall(const serving_call &Call,
                         std::optional<steady_time> NotRunSince) const {
    if (AccountCallHandler && !Call.Call.Account.empty())
      AccountCallHandler(Call.Call.Account, NotRunSince);
  }

  void reject(ticket Ticket, mesh::rejection_reason Reason) {
    Context.Metrics.count(std::string("gate_refusals_total{reason=\"") +
                          mesh::describe(Reason) + "\"}");
    complete(Ticket,
             {serving_outcome::Refused, {}, mesh::describe(Reason), false, {}});
  }

  void rememberEnded(const serving_call &Call) {
    if (!Call.PoolTicket)
      return;
    EndedCalls.push_back({Call.Call.CallId, now()});
    while (EndedCalls.size() > MaxEndedCalls ||
           now() - EndedCalls.front().EndedAt > EndedCallMemory)
      EndedCalls.pop_front();
  }

  void complete(ticket Ticket, serving_result Result) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    auto Done = std::move(Found->second.Done);
    rememberEnded(Found->second);
    Calls.erase(Found);
    Result.Report = Admission.report(now());
    Context.Loop.defer(
        [Done = std::move(Done), Result = std::move(Result)] { Done(Result); });
  }

  void onServerResponse(ticket Ticket, http1::send_result Result) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    serving_call &Call = Found->second;
    auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
        now() - Call.StartedAt);
    if (Result.Outcome == http1::send_outcome::NotSent) {
      reportAccountCall(Call, Call.StartedAt);
      Admission.finish(Ticket, std::nullopt);
      suspendServer("no connection");
      return complete(
          Ticket,
          {serving_outcome::Refused, {}, "server-unreachable", false, {}});
    }
    if (Result.Outcome == http1::send_outcome::NoMemory)
      return onResponseDropped(Ticket, Call);
    if (Result.Outcome != http1::send_outcome::Responded)
      return onResponseLost(Ticket, Call, Result);
    response_class Class = Context.Dialect.classifyResponse(Result.Response);
    if (Class == response_class::NotRun || Class == response_class::WrongServer)
      reportAccountCall(Call, Call.StartedAt);
    if (Class == response_class::Final || Class == response_class::NotRun)
      onServerNotice(Context.Dialect.readServerNotice(Result.Response),
                     Call.Call.Instance, Call.StartedAt);
    switch (Class) {
    case response_class::Final: {
      ConsecutiveLostResponses = 0;
      Admission.finish(Ticket, Time);
      constexpr int FirstServerError = 500;
      bool Failed = Result.Response.Status >= FirstServerError;
      addEvidence(Call, Failed, Time);
      recordResponseSize(Call.Call.Route, Result.Response.Body.size());
      http1::removeHopByHopFields(Result.Response.Headers);
      bool NestedCallRejected = Failed && Call.NestedCallRejected;
      return complete(Ticket, {serving_outcome::Answered,
                               std::move(Result.Response),
                               Failed ? "server-error" : "",
                               NestedCallRejected,
                               {}});
    }
    case response_class::NotRun:
      ConsecutiveLostResponses = 0;
      Admission.finish(Ticket, std::nullopt);
      return complete(Ticket,
                      {serving_outcome::Shed, {}, "server-shed", false, {}});
    case response_class::WrongServer:
      Admission.finish(Ticket, std::nullopt);
      onInstanceDenied(Call.Call.Instance);
      suspendServer("another server has the address");
      return complete(
          Ticket, {serving_outcome::Refused, {}, "wrong-server", false, {}});
    case response_class::Unverified:
      return onResponseLost(Ticket, Call, Result);
    }
  }

  void onInstanceDenied(const std::string &Instance) {
    if (DeniedHandler)
      Context.Loop.defer(bindWeakly(shared_from_this(), [Instance](impl &Self) {
        Self.DeniedHandler(Instance);
      }));
  }

  /// Handles what the server \p Instance says in the response to a request that
  /// was sent at \p SentAt. Another server may be beside this node by then.
  void onServerNotice(const server_notice &Notice, const std::string &Instance,
                      steady_time SentAt) {
    if (!Server || Instance != Server->Admission.Instance)
      return;
    using limit = server_notice::limit;
    if (Notice.Limit == limit::Named) {
      LimitNamedAt = now();
      setRateLimit(Notice.CallsPerSecond);
    } else if (Notice.Limit == limit::None && SentAt > LimitNamedAt) {
      // A response to an earlier call may be older than the limit.
      setRateLimit(std::nullopt);
    }
    if (Notice.Leaving && LeavingHandler)
      Context.Loop.defer(bindWeakly(shared_from_this(), [Instance](impl &Self) {
        Self.LeavingHandler(Instance);
      }));
  }

  void setRateLimit(std::optional<double> CallsPerSecond) {
    bool WasLimited = Admission.rateLimit().has_value();
    if (!WasLimited && !CallsPerSecond)
      return;
    Admission.setRateLimit(CallsPerSecond, now());
    if (WasLimited == CallsPerSecond.has_value())
      return;
    constexpr double MilliCalls = 1000;
    Context.Log.write(
        event::ServerLimited,
        {{"instance", Server->Admission.Instance},
         {"limited", CallsPerSecond ? 1 : 0},
         {"calls_per_1000_s",
          std::int64_t(CallsPerSecond.value_or(0) * MilliCalls)}});
  }

  /// This node had no memory for the response, which says nothing about the
  /// server and its version.
  void onResponseDropped(ticket Ticket, const serving_call &Call) {
    const char *Reason = "no-memory";
    Context.Log.write(event::CallFailed, {{"call", Call.Call.CallId},
                                          {"route", Call.Call.Route.str()},
                                          {"instance", Call.Call.Instance},
                                          {"reason", Reason}});
    Admission.finish(Ticket, std::nullopt);
    complete(Ticket, {serving_outcome::Unknown, {}, Reason, false, {}});
  }

  void onResponseLost(ticket Ticket, const serving_call &Call,
                      const http1::send_result &Result) {
    const char *Reason = Result.Outcome == http1::send_outcome::Malformed
                             ? "malformed-answer"
                         : Result.Outcome == http1::send_outcome::ConnectionLost
                             ? "answer-lost"
                             : "unproven-answer";
    Context.Log.write(event::CallFailed, {{"call", Call.Call.CallId},
                                          {"route", Call.Call.Route.str()},
                                          {"instance", Call.Call.Instance},
                                          {"reason", Reason},
                                          {"reused", Result.Reused ? 1 : 0}});
    Admission.finish(Ticket, std::nullopt);
    addEvidence(Call, true, {});
    if (++ConsecutiveLostResponses >= LostResponsesBeforeProbe)
      suspendServer("answers lost in a row");
    complete(Ticket, {serving_outcome::Unknown, {}, Reason, false, {}});
  }

  rollout::route_evidence &evidenceOf(const serving_call &Call) {
    if (Evidence.size() > MaxTrackedRoutes)
      resetEvidence();
    rollout::route_evidence &RouteEvidence = Evidence[Call.Call.Route];
    RouteEvidence.Route = Call.Call.Route;
    return RouteEvidence;
  }

  void addEvidence(const serving_call &Call, bool Failed,
                   std::chrono::milliseconds Time) {
    rollout::route_evidence &RouteEvidence = evidenceOf(Call);
    ++RouteEvidence.Calls;
    if (Failed)
      ++RouteEvidence.Errors;
    else if (!Admission.isCold(now()))
      ++RouteEvidence.Latencies[rollout::latencyBucket(Time)];
  }

  /// Returns the bucket of the time that \p Call has run.
  std::size_t ageBucket(const serving_call &Call) const {
    return rollout::latencyBucket(
        std::chrono::duration_cast<std::chrono::microseconds>(now() -
                                                              Call.StartedAt));
  }

  void resetEvidence() {
    Evidence.clear();
    EvidenceStarts = 0;
  }

  void updateRunningCalls() {
    for (auto &[Name, Route] : Evidence)
      Route.Running = {};
    if (Admission.isCold(now()))
      return;
    for (const auto &[Ticket, Call] : Calls)
      if (Call.PoolTicket)
        ++evidenceOf(Call).Running[ageBucket(Call)];
  }

  void cancel(ticket Ticket, const char *Reason) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    if (Found->second.PoolTicket && !Admission.isCold(now()))
      ++evidenceOf(Found->second).Canceled[ageBucket(Found->second)];
    Context.Log.write(event::CallCanceled, {{"call", Found->second.Call.CallId},
                                            {"reason", Reason}});
    if (Found->second.PoolTicket)
      Pool.cancel(*Found->second.PoolTicket);
    rememberEnded(Found->second);
    Calls.erase(Found);
    Admission.removeQueued(Ticket);
    Admission.finish(Ticket, std::nullopt);
    Context.Loop.defer(bindWeakly(shared_from_this(), &impl::advance));
  }

  void answerOpenCalls() {
    constexpr const char *Reason = "node-ending";
    std::vector<ticket> Tickets;
    for (const auto &[Ticket, Call] : Calls)
      Tickets.push_back(Ticket);
    for (ticket Ticket : Tickets) {
      auto PoolTicket = Calls.at(Ticket).PoolTicket;
      if (PoolTicket)
        Pool.cancel(*PoolTicket);
      Admission.removeQueued(Ticket);
      Admission.finish(Ticket, std::nullopt);
      complete(Ticket, {PoolTicket ? serving_outcome::Unknown
                                   : serving_outcome::Refused,
                        {},
                        Reason,
                        false,
                        {}});
    }
  }

  /// Stops sending calls to the server until a probe or announcement confirms
  /// that it is running.
  void suspendServer(const char *Reason) {
    if (!Admission.confirmed() || !Server)
      return;
    Admission.setConfirmed(false);
    ConsecutiveLostResponses = 0;
    Context.Log.write(
        event::ServerSilent,
        {{"instance", Server->Admission.Instance}, {"reason", Reason}});
    Context.Loop.defer(bindWeakly(shared_from_this(), &impl::probe));
  }

  void probe() {
    if (Admission.confirmed() || !Server || Probe)
      return;
    // No configuration with the health check path has been received yet.
    if (Server->HealthPath.empty())
      return ProbeTimer.startOnce(ProbeInterval);
    Context.Metrics.count("server_probes_total");
    ProbeSentAt = now();
    http1::request Request;
    Request.Method = "GET";
    Request.Target = Server->HealthPath;
    Request.Headers.add("Host", Server->Address.str());
    Probe = Pool.send(Server->Address, std::move(Request),
                      {ServerConnectTimeout, std::chrono::milliseconds(0), ""},
                      [this](http1::send_result Result) {
                        Probe.reset();
                        onProbeResult(Result);
                      });
    ProbeTimeoutTimer.startOnce(ProbeTimeout);
  }

  void onProbeTimeout() {
    if (!Probe)
      return;
    Pool.cancel(*Probe);
    Probe.reset();
    onProbeUnanswered();
  }

  /// The last answer of the server remains valid.
  void onProbeUnanswered() {
    if (Verdict == health_verdict::Pending)
      Verdict = health_verdict::Unknown;
    ProbeTimer.startOnce(ProbeInterval);
  }

  void onProbeResult(const http1::send_result &Result) {
    ProbeTimeoutTimer.cancel();
    if (Admission.confirmed() || !Server)
      return;
    if (Result.Outcome != http1::send_outcome::Responded)
      return onProbeUnanswered();
    health_report Health = Context.Dialect.readHealth(Result.Response);
    onServerNotice(Context.Dialect.readServerNotice(Result.Response),
                   Health.Instance, ProbeSentAt);
    bool SameInstance = Health.Instance == Server->Admission.Instance;
    if (Health.Healthy && SameInstance) {
      confirm(Health.ColdFor, "probe");
      return advance();
    }
    if (!Health.Instance.empty() && !SameInstance)
      onInstanceDenied(Server->Admission.Instance);
    if (Context.Dialect.classifyResponse(Result.Response) ==
        response_class::NotRun)
      return onProbeUnanswered();
    Verdict = health_verdict::Unhealthy;
    ProbeTimer.startOnce(ProbeInterval);
  }

  void confirm(std::chrono::milliseconds ColdFor, const char *By) {
    Admission.setColdStartEnd(now() + ColdFor);
    if (Admission.confirmed())
      return;
    Admission.setConfirmed(true);
    Verdict = health_verdict::Pending;
    ConsecutiveLostResponses = 0;
    Context.Log.write(event::ServerConfirmed,
                      {{"instance", Server->Admission.Instance},
                       {"by", By},
                       {"cold_for_ms", ColdFor}});
  }
};

serving_task::serving_task(task_context Context, double LinkBytesPerSecond,
                           http1::link_pacer &Pacer)
    : Impl(std::make_shared<impl>(Context, LinkBytesPerSecond, Pacer)) {}

serving_task::~serving_task() = default;

result<void> serving_task::listen(const address &At,
                                  std::size_t MaxConnections) {
  http1::server_limits Limits;
  // The limits of callers are enforced by the nodes that accept their calls.
  // Idle connections are closed by the other nodes first.
  Limits.Message.MaxHeadBytes = 256UL << 10;
  Limits.Message.MaxBodyBytes = 128UL << 20;
  Limits.IdleTimeout = std::chrono::minutes(1);
  Limits.MaxConnections = MaxConnections;
  Impl->Listener = std::make_unique<http1::server>(
      Impl->Context.Loop, Limits,
      [Self = Impl.get()](std::shared_ptr<http1::exchange> Exchange) {
        Self->onRequest(std::move(Exchange));
      });
  Impl->Listener->setRefusalDecorator(
      [Self = Impl.get()](http1::response &Response) {
        Self->decorateRefusal(Response);
      });
  Impl->Listener->setMemoryGuard(Impl->Context.Memory);
  Impl->Listener->setPacer(Impl->Pacer);
  return Impl->Listener->listen(At, {});
}

void serving_task::setEvidenceHandler(
    std::function<void(const rollout::server_evidence &)> Handler) {
  Impl->EvidenceHandler = std::move(Handler);
}

void serving_task::setUsageHandler(
    std::function<void(http1::exchange &)> Handler) {
  Impl->UsageHandler = std::move(Handler);
}

void serving_task::setAccountCallHandler(
    std::function<void(const account_name &, std::optional<steady_time>)>
        Handler) {
  Impl->AccountCallHandler = std::move(Handler);
}

void serving_task::setDeniedHandler(
    std::function<void(const std::string &Instance)> Handler) {
  Impl->DeniedHandler = std::move(Handler);
}

void serving_task::setLeavingHandler(
    std::function<void(const std::string &Instance)> Handler) {
  Impl->LeavingHandler = std::move(Handler);
}

void serving_task::setFollowerPollHandler(
    std::function<void(std::shared_ptr<http1::exchange>)> Handler) {
  Impl->FollowerPollHandler = std::move(Handler);
}

void serving_task::onServer(const std::optional<local_server> &Server) {
  bool SameVersion = Server && Impl->Server &&
                     Server->Service == Impl->Server->Service &&
                     Server->Version == Impl->Server->Version;
  Impl->Server = Server;
  Impl->Admission.setServer(Server ? std::optional(Server->Admission)
                                   : std::nullopt);
  if (!SameVersion)
    Impl->resetEvidence();
  Impl->advance();
}

void serving_task::onServerAnnounced(std::chrono::milliseconds ColdFor) {
  if (!Impl->Server)
    return;
  // Announcements may be delayed ones from before the server began to shut
  // down. They confirm a server only if it answers no health check.
  const std::string &Instance = Impl->Server->Admission.Instance;
  if (Impl->AnnouncedInstance != Instance) {
    Impl->AnnouncedInstance = Instance;
    Impl->Verdict = health_verdict::Pending;
    return Impl->probe();
  }
  if (!Impl->Admission.confirmed() && Impl->Verdict != health_verdict::Unknown)
    return Impl->probe();
  Impl->confirm(ColdFor, "announcement");
  Impl->advance();
}

void serving_task::setBlockReason(
    const std::optional<mesh::rejection_reason> &Reason) {
  Impl->Admission.setBlockReason(Reason);
  Impl->advance();
}

void serving_task::onRetryBounds(const mesh::mesh_bounds &Bounds,
                                 std::size_t Servers) {
  Impl->Admission.retryBudget().configure(Bounds, Servers);
}

void serving_task::startDraining() {
  if (Impl->Listener)
    Impl->Listener->startDraining();
}

call_transport::ticket serving_task::send(const mesh::server_record &,
                                          const peer_call &Call,
                                          const http1::request &Request,
                                          callback Done) {
  ticket Ticket = Impl->enqueue(Call, Request, std::move(Done));
  Impl->Context.Loop.defer([Self = Impl] { Self->advance(); });
  return Ticket;
}

void serving_task::cancel(ticket Ticket) {
  Impl->cancel(Ticket, "entry-canceled");
}

void serving_task::resetEvidence() { Impl->resetEvidence(); }

rollout::server_evidence serving_task::evidence() {
  rollout::server_evidence Evidence;
  if (Impl->Server) {
    Evidence.Service = Impl->Server->Service;
    Evidence.Version = Impl->Server->Version;
  }
  Evidence.Sequence = ++Impl->EvidenceSequence;
  Evidence.Starts = Impl->EvidenceStarts;
  Impl->updateRunningCalls();
  for (const auto &[Name, RouteEvidence] : Impl->Evidence)
    Evidence.Routes.push_back(RouteEvidence);
  return Evidence;
}

/// Returns whether the ID of a call begins with that of the call \p Enclosing.
static bool isNestedId(const std::string &CallId,
                       const std::string &Enclosing) {
  return Enclosing.size() >= MinEnclosingIdLength &&
         CallId.size() > Enclosing.size() && CallId.starts_with(Enclosing);
}

bool serving_task::mayBelongToEndedCall(const std::string &CallId) const {
  steady_time Now = Impl->now();
  if (Now - Impl->StartedAt < EndedCallMemory)
    return true;
  return std::any_of(Impl->EndedCalls.begin(), Impl->EndedCalls.end(),
                     [&](const impl::ended_call &Ended) {
                       return Now - Ended.EndedAt <= EndedCallMemory &&
                              isNestedId(CallId, Ended.CallId);
                     });
}

std::optional<enclosing_call>
serving_task::findEnclosingCall(const std::string &CallId) const {
  for (const auto &[Ticket, Running] : Impl->Calls) {
    const std::string &Id = Running.Call.CallId;
    if (Running.PoolTicket && isNestedId(CallId, Id))
      return enclosing_call{Id, Running.Call.IsRetry ||
                                    Running.Call.InheritedRetry};
  }
  return std::nullopt;
}

void serving_task::onNestedCallRejected(const std::string &EnclosingId) {
  for (auto &[Ticket, Running] : Impl->Calls)
    if (Running.Call.CallId == EnclosingId)
      Running.NestedCallRejected = true;
}

void serving_task::setOtherUnsentBytesSource(
    std::function<std::size_t()> UnsentBytes) {
  Impl->OtherUnsentBytes = std::move(UnsentBytes);
}

bool serving_task::isServerConfirmed() const {
  return Impl->Admission.confirmed();
}

void serving_task::answerOpenCalls() { Impl->answerOpenCalls(); }

std::size_t serving_task::callsInFlight() const { return Impl->Calls.size(); }

std::size_t serving_task::unsentBytes() const { return Impl->unsentBytes(); }

} // namespace gentianlug::gateway
