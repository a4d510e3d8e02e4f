#include "gentianlug/gateway/serving_task.h"

#include "gentianlug/gateway/feed_task.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/wire/rollout_values.h"

#include <map>
#include <unordered_map>

namespace gentianlug::gateway {

using observe::event;

/// The server is on the same machine.
static constexpr std::chrono::milliseconds ServerConnectTimeout{500};
/// A call that runs once at most goes out only on a connection that was in use
/// this short a time ago: a server may forget an idle connection, and after a
/// reset it is unknown whether the call ran.
static constexpr std::chrono::milliseconds AtMostOnceMaxIdle{200};
static constexpr std::chrono::milliseconds IdempotentMaxIdle{5000};
/// Lost answers in a row after which the server is asked whether it runs.
static constexpr std::uint32_t LostResponsesBeforeProbe = 3;
static constexpr std::chrono::milliseconds ProbeInterval{300};
static constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// Weight of one answer in the moving average of answer sizes.
static constexpr double ResponseSizeWeight = 0.1;
static constexpr std::size_t MaxTrackedRoutes = 10000;

namespace {

struct serving_call {
  peer_call Call;
  http1::request Request;
  call_transport::callback Done;
  steady_time QueuedAt;
  steady_time Deadline;
  steady_time StartedAt{};
  std::optional<http1::client_pool::ticket> PoolTicket;
};

} // namespace

struct serving_task::impl : std::enable_shared_from_this<serving_task::impl> {
  task_context Context;
  http1::link_pacer &Pacer;
  mesh::server_admission Gate;
  std::optional<local_server> Server;
  http1::client_pool Pool;
  std::unique_ptr<http1::server> Listener;
  std::unordered_map<ticket, serving_call> Calls;
  ticket LastTicket = 0;
  net::timer GateTimer;
  net::timer ProbeTimer;
  net::timer ProbeTimeoutTimer;
  std::optional<http1::client_pool::ticket> Probe;
  std::uint32_t ConsecutiveLostResponses = 0;
  /// Instance that has announced itself to this life of the node.
  std::string AnnouncedInstance;
  std::map<route_name, rollout::route_evidence> Evidence;
  std::uint64_t EvidenceSequence = 0;
  std::function<void(const rollout::server_evidence &)> EvidenceHandler;
  std::function<void(std::shared_ptr<http1::exchange>)> FollowerPollHandler;

  std::unordered_map<route_name, double> AverageResponseBytes;
  std::function<std::size_t()> OtherUnsentBytes;

  impl(task_context Context, double LinkBytesPerSecond,
       http1::link_pacer &Pacer)
      : Context(Context), Pacer(Pacer), Pool(Context.Loop, {}, {}),
        GateTimer(Context.Loop, [this] { advance(); }),
        ProbeTimer(Context.Loop, [this] { probe(); }),
        ProbeTimeoutTimer(Context.Loop, [this] { onProbeTimeout(); }) {
    Gate.setLinkBytesPerSecond(LinkBytesPerSecond);
  }

  steady_time now() const { return Context.Clock.steadyNow(); }

  void onEvidence(http1::exchange &Exchange) {
    constexpr int Ok = 200;
    constexpr int BadRequest = 400;
    auto Evidence = wire::decodeServerEvidence(Exchange.received().Body);
    if (!Evidence)
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange.client().str()},
                         {"reason", Evidence.failure().message()}});
    else if (EvidenceHandler)
      EvidenceHandler(*Evidence);
    Exchange.respond(http1::statusAnswer(Evidence ? Ok : BadRequest));
  }

  void onRequest(std::shared_ptr<http1::exchange> Exchange) {
    if (Exchange->received().Target == EvidencePath)
      return onEvidence(*Exchange);
    if (Exchange->received().Target == FeedPath && FollowerPollHandler)
      return FollowerPollHandler(std::move(Exchange));
    auto Call = extractPeerCall(Exchange->received());
    if (!Call) {
      Context.Log.write(event::BadRequest, {{"peer", Exchange->client().str()},
                                            {"reason", "no call of a node"}});
      constexpr int BadRequest = 400;
      Exchange->respond(http1::statusAnswer(BadRequest));
      return;
    }
    std::weak_ptr<http1::exchange> Weak = Exchange;
    ticket Ticket =
        enqueue(*Call, std::move(Exchange->received()),
                [Exchange](serving_result Result) {
                  Exchange->respond(encodeServingResult(std::move(Result)));
                });
    Exchange->onClientGone([this, Ticket] { cancel(Ticket, "caller-gone"); });
    advance();
  }

  std::size_t expectedBytes(const route_name &Route) const {
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
    Gate.setUnsentBytes(unsentBytes() +
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
    Gate.submit({.Id = Ticket,
                 .Instance = Call.Instance,
                 .QueuePriority = Call.Rank,
                 .Deadline = Deadline,
                 .MaxQueueTime = Call.MaxWait,
                 .IsRetry = Call.Retry,
                 .InheritedRetry = Call.InheritedRetry,
                 .ExpectedResponseBytes = expectedBytes(Call.Route)},
                Now);
    return Ticket;
  }

  void advance() {
    steady_time Now = now();
    for (const mesh::admission_decision &Action : Gate.advance(Now)) {
      if (Action.Kind == mesh::admission_decision::kind::Start)
        start(Action.Id, Now);
      else
        refuse(Action.Id, Action.Reason);
    }
    if (auto Next = Gate.nextWakeup(Now))
      GateTimer.startOnce(std::max(
          std::chrono::duration_cast<std::chrono::microseconds>(*Next - Now),
          std::chrono::microseconds(1000)));
  }

  void start(ticket Ticket, steady_time Now) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end()) {
      Gate.finish(Ticket, std::nullopt);
      return;
    }
    serving_call &Call = Found->second;
    Call.StartedAt = Now;
    http1::request Request = std::move(Call.Request);
    Context.Dialect.writeServerCall(
        Request, {std::chrono::duration_cast<std::chrono::milliseconds>(
                      Call.Deadline - Now),
                  Server->Admission.Instance, Call.Call.CallerService});
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

  void refuse(ticket Ticket, mesh::rejection_reason Reason) {
    Context.Metrics.count(std::string("gate_refusals_total{reason=\"") +
                          mesh::describe(Reason) + "\"}");
    complete(Ticket,
             {serving_outcome::Refused, {}, mesh::describe(Reason), {}});
  }

  void complete(ticket Ticket, serving_result Result) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    auto Done = std::move(Found->second.Done);
    Calls.erase(Found);
    Result.Report = Gate.report(now());
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
    if (Result.End == http1::send_end::NotSent) {
      Gate.finish(Ticket, std::nullopt);
      suspendServer("no connection");
      return complete(Ticket,
                      {serving_outcome::Refused, {}, "server-unreachable", {}});
    }
    if (Result.End != http1::send_end::Answered)
      return onResponseLost(Ticket, Call, Result);
    switch (Context.Dialect.classifyResponse(Result.Answer)) {
    case response_class::Final: {
      ConsecutiveLostResponses = 0;
      Gate.finish(Ticket, Time);
      constexpr int FirstServerError = 500;
      bool Failed = Result.Answer.Status >= FirstServerError;
      addEvidence(Call, Failed, Time);
      recordResponseSize(Call.Call.Route, Result.Answer.Body.size());
      http1::removeConnectionFields(Result.Answer.Headers);
      return complete(Ticket, {serving_outcome::Answered,
                               std::move(Result.Answer),
                               Failed ? "server-error" : "",
                               {}});
    }
    case response_class::NotRun:
      ConsecutiveLostResponses = 0;
      Gate.finish(Ticket, std::nullopt);
      return complete(Ticket, {serving_outcome::Shed, {}, "server-shed", {}});
    case response_class::WrongServer:
      Gate.finish(Ticket, std::nullopt);
      suspendServer("another server has the address");
      return complete(Ticket,
                      {serving_outcome::Refused, {}, "wrong-server", {}});
    case response_class::Unverified:
      return onResponseLost(Ticket, Call, Result);
    }
  }

  void onResponseLost(ticket Ticket, const serving_call &Call,
                      const http1::send_result &Result) {
    const char *Reason =
        Result.End == http1::send_end::Malformed ? "malformed-answer"
        : Result.End == http1::send_end::Lost    ? "answer-lost"
                                                 : "unproven-answer";
    Context.Log.write(event::CallFailed, {{"call", Call.Call.CallId},
                                          {"route", Call.Call.Route.str()},
                                          {"instance", Call.Call.Instance},
                                          {"reason", Reason},
                                          {"reused", Result.Reused ? 1 : 0}});
    Gate.finish(Ticket, std::nullopt);
    addEvidence(Call, true, {});
    if (++ConsecutiveLostResponses >= LostResponsesBeforeProbe)
      suspendServer("answers lost in a row");
    complete(Ticket, {serving_outcome::Unknown, {}, Reason, {}});
  }

  void addEvidence(const serving_call &Call, bool Failed,
                   std::chrono::milliseconds Time) {
    rollout::route_evidence &Row = Evidence[Call.Call.Route];
    Row.Route = Call.Call.Route;
    ++Row.Calls;
    if (Failed)
      ++Row.Errors;
    else if (!Gate.isCold(now()))
      ++Row.Latencies[rollout::latencyBucket(Time)];
  }

  void cancel(ticket Ticket, const char *Reason) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    Context.Log.write(event::CallCanceled, {{"call", Found->second.Call.CallId},
                                            {"reason", Reason}});
    if (Found->second.PoolTicket)
      Pool.cancel(*Found->second.PoolTicket);
    Calls.erase(Found);
    Gate.removeQueued(Ticket);
    Gate.finish(Ticket, std::nullopt);
    Context.Loop.defer([this] { advance(); });
  }

  /// Sends the server nothing more until it shows that it runs.
  void suspendServer(const char *Reason) {
    if (!Gate.confirmed() || !Server)
      return;
    Gate.setConfirmed(false);
    ConsecutiveLostResponses = 0;
    Context.Log.write(
        event::ServerSilent,
        {{"instance", Server->Admission.Instance}, {"reason", Reason}});
    Context.Loop.defer([this] { probe(); });
  }

  void probe() {
    if (Gate.confirmed() || !Server || Probe)
      return;
    // The configuration that names the path has not come yet.
    if (Server->HealthPath.empty())
      return ProbeTimer.startOnce(ProbeInterval);
    Context.Metrics.count("server_probes_total");
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
    ProbeTimer.startOnce(ProbeInterval);
  }

  void onProbeResult(const http1::send_result &Result) {
    ProbeTimeoutTimer.cancel();
    if (Gate.confirmed() || !Server)
      return;
    if (Result.End == http1::send_end::Answered) {
      health_report Health = Context.Dialect.readHealth(Result.Answer);
      if (Health.Healthy && Health.Instance == Server->Admission.Instance) {
        confirm(Health.ColdFor, "probe");
        return advance();
      }
    }
    ProbeTimer.startOnce(ProbeInterval);
  }

  void confirm(std::chrono::milliseconds ColdFor, const char *By) {
    Gate.setColdStartEnd(now() + ColdFor);
    if (Gate.confirmed())
      return;
    Gate.setConfirmed(true);
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

result<void> serving_task::listen(const address &At) {
  http1::server_limits Limits;
  // Other nodes check what callers send; kept connections are theirs to close.
  Limits.Message.MaxHeadBytes = 256UL << 10;
  Limits.Message.MaxBodyBytes = 128UL << 20;
  Limits.IdleTimeout = std::chrono::minutes(1);
  Impl->Listener = std::make_unique<http1::server>(
      Impl->Context.Loop, Limits,
      [Self = Impl.get()](std::shared_ptr<http1::exchange> Exchange) {
        Self->onRequest(std::move(Exchange));
      });
  Impl->Listener->paceBy(Impl->Pacer);
  return Impl->Listener->listen(At, {});
}

void serving_task::setEvidenceHandler(
    std::function<void(const rollout::server_evidence &)> Action) {
  Impl->EvidenceHandler = std::move(Action);
}

void serving_task::setFollowerPollHandler(
    std::function<void(std::shared_ptr<http1::exchange>)> Action) {
  Impl->FollowerPollHandler = std::move(Action);
}

void serving_task::onServer(const std::optional<local_server> &Server) {
  Impl->Server = Server;
  Impl->Gate.setServer(Server ? std::optional(Server->Admission)
                              : std::nullopt);
  Impl->Evidence.clear();
  Impl->advance();
}

void serving_task::onServerAnnounced(std::chrono::milliseconds ColdFor) {
  if (!Impl->Server)
    return;
  // An announcement may be late, from before the server began to leave; its
  // own word, or a second announcement, rules that out.
  const std::string &Instance = Impl->Server->Admission.Instance;
  if (Impl->AnnouncedInstance != Instance) {
    Impl->AnnouncedInstance = Instance;
    return Impl->probe();
  }
  Impl->confirm(ColdFor, "announcement");
  Impl->advance();
}

void serving_task::setClosed(
    const std::optional<mesh::rejection_reason> &Reason) {
  Impl->Gate.setBlockReason(Reason);
  Impl->advance();
}

void serving_task::onRetryBounds(const mesh::mesh_bounds &Bounds,
                                 std::size_t Servers) {
  Impl->Gate.retryBudget().configure(Bounds, Servers);
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

rollout::server_evidence serving_task::takeEvidence() {
  rollout::server_evidence Evidence;
  if (Impl->Server) {
    Evidence.Service = Impl->Server->Service;
    Evidence.Version = Impl->Server->Version;
  }
  Evidence.Sequence = ++Impl->EvidenceSequence;
  for (auto &[Name, Row] : Impl->Evidence)
    Evidence.Routes.push_back(Row);
  Impl->Evidence.clear();
  return Evidence;
}

double serving_task::retryShare() const { return Impl->Gate.retryShare(); }

void serving_task::setOtherUnsentBytesSource(
    std::function<std::size_t()> UnsentBytes) {
  Impl->OtherUnsentBytes = std::move(UnsentBytes);
}

std::size_t serving_task::callsInFlight() const { return Impl->Calls.size(); }

std::size_t serving_task::unsentBytes() const { return Impl->unsentBytes(); }

} // namespace gentianlug::gateway
