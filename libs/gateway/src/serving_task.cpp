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
static constexpr std::chrono::milliseconds AtMostOnceIdle{200};
static constexpr std::chrono::milliseconds IdempotentIdle{5000};
/// Lost answers in a row after which the server is asked whether it runs.
static constexpr std::uint32_t LostToAsk = 3;
static constexpr std::chrono::milliseconds ProbePeriod{300};
static constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// Weight of one answer in the moving average of answer sizes.
static constexpr double SizeWeight = 0.1;
static constexpr std::size_t MaxRoutesLearned = 10000;

namespace {

struct serving_call {
  peer_call Call;
  http1::request Request;
  serving_port::callback Done;
  steady_time Offered;
  steady_time Deadline;
  steady_time Started{};
  std::optional<http1::client_pool::ticket> Sent;
};

} // namespace

struct serving_task::impl : std::enable_shared_from_this<serving_task::impl> {
  task_context Context;
  http1::link_pacer &Pacer;
  mesh::serving_gate Gate;
  std::optional<local_server> Server;
  http1::client_pool Pool;
  std::unique_ptr<http1::server> Listener;
  std::unordered_map<ticket, serving_call> Calls;
  ticket LastTicket = 0;
  net::timer GateTimer;
  net::timer ProbeTimer;
  net::timer ProbeLimit;
  std::optional<http1::client_pool::ticket> Probe;
  std::uint32_t LostInARow = 0;
  /// Instance that has announced itself to this life of the node.
  std::string SeenInstance;
  std::map<route_name, rollout::route_evidence> Evidence;
  std::uint64_t EvidenceSequence = 0;
  std::function<void(const rollout::server_evidence &)> TakeEvidence;
  std::function<void(std::shared_ptr<http1::exchange>)> TakeQuestion;

  std::unordered_map<route_name, double> AnswerBytes;
  std::function<std::size_t()> OtherUnsent;

  impl(task_context Context, double LinkBytesPerSecond,
       http1::link_pacer &Pacer)
      : Context(Context), Pacer(Pacer), Pool(Context.Loop, {}, {}),
        GateTimer(Context.Loop, [this] { advance(); }),
        ProbeTimer(Context.Loop, [this] { probe(); }),
        ProbeLimit(Context.Loop, [this] { endProbe(); }) {
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
    else if (TakeEvidence)
      TakeEvidence(*Evidence);
    Exchange.respond(http1::statusAnswer(Evidence ? Ok : BadRequest));
  }

  void onRequest(std::shared_ptr<http1::exchange> Exchange) {
    if (Exchange->received().Target == EvidencePath)
      return onEvidence(*Exchange);
    if (Exchange->received().Target == FeedPath && TakeQuestion)
      return TakeQuestion(std::move(Exchange));
    auto Call = takePeerCall(Exchange->received());
    if (!Call) {
      Context.Log.write(event::BadRequest, {{"peer", Exchange->client().str()},
                                            {"reason", "no call of a node"}});
      constexpr int BadRequest = 400;
      Exchange->respond(http1::statusAnswer(BadRequest));
      return;
    }
    std::weak_ptr<http1::exchange> Weak = Exchange;
    ticket Ticket =
        offer(*Call, std::move(Exchange->received()),
              [Exchange](serving_result Result) {
                Exchange->respond(writeServingResult(std::move(Result)));
              });
    Exchange->onClientGone([this, Ticket] { cancel(Ticket, "caller-gone"); });
    advance();
  }

  std::size_t expectedBytes(const route_name &Route) const {
    auto Found = AnswerBytes.find(Route);
    return Found == AnswerBytes.end() ? 0 : std::size_t(Found->second);
  }

  void learnSize(const route_name &Route, std::size_t Bytes) {
    if (AnswerBytes.size() > MaxRoutesLearned)
      AnswerBytes.clear();
    auto [Found, Added] = AnswerBytes.try_emplace(Route, double(Bytes));
    Found->second += SizeWeight * (double(Bytes) - Found->second);
  }

  std::size_t unsentBytes() const {
    return Listener ? Listener->unsentBytes() : 0;
  }

  void measureLink() {
    Gate.setUnsentBytes(unsentBytes() + (OtherUnsent ? OtherUnsent() : 0));
  }

  ticket offer(const peer_call &Call, http1::request Request, callback Done) {
    ticket Ticket = ++LastTicket;
    steady_time Now = now();
    steady_time Deadline = Now + Call.Deadline;
    Calls.emplace(
        Ticket,
        serving_call{
            Call, std::move(Request), std::move(Done), Now, Deadline, {}, {}});
    measureLink();
    Gate.offer({.Ticket = Ticket,
                .Instance = Call.Instance,
                .Rank = Call.Rank,
                .Deadline = Deadline,
                .MaxWait = Call.MaxWait,
                .Repeat = Call.Repeat,
                .InheritedRepeat = Call.InheritedRepeat,
                .ExpectedBytes = expectedBytes(Call.Route)},
               Now);
    return Ticket;
  }

  void advance() {
    steady_time Now = now();
    for (const mesh::gate_action &Action : Gate.advance(Now)) {
      if (Action.Kind == mesh::gate_action::kind::Start)
        start(Action.Ticket, Now);
      else
        refuse(Action.Ticket, Action.Reason);
    }
    if (auto Next = Gate.nextEvent(Now))
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
    Call.Started = Now;
    http1::request Request = std::move(Call.Request);
    Context.Dialect.writeServerCall(
        Request, {std::chrono::duration_cast<std::chrono::milliseconds>(
                      Call.Deadline - Now),
                  Server->Gated.Instance, Call.Call.CallerService});
    http1::send_options Options{ServerConnectTimeout,
                                Call.Call.Idempotent ? IdempotentIdle
                                                     : AtMostOnceIdle,
                                Context.Dialect.echoedField()};
    Call.Sent = Pool.send(Server->Address, std::move(Request), Options,
                          [this, Ticket](http1::send_result Result) {
                            onAnswer(Ticket, std::move(Result));
                            advance();
                          });
  }

  void refuse(ticket Ticket, mesh::gate_refusal Reason) {
    Context.Metrics.count(std::string("gate_refusals_total{reason=\"") +
                          mesh::describe(Reason) + "\"}");
    end(Ticket, {serving_end::Refused, {}, mesh::describe(Reason), {}});
  }

  void end(ticket Ticket, serving_result Result) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    auto Done = std::move(Found->second.Done);
    Calls.erase(Found);
    Result.Report = Gate.report(now());
    Context.Loop.defer(
        [Done = std::move(Done), Result = std::move(Result)] { Done(Result); });
  }

  void onAnswer(ticket Ticket, http1::send_result Result) {
    auto Found = Calls.find(Ticket);
    if (Found == Calls.end())
      return;
    serving_call &Call = Found->second;
    auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
        now() - Call.Started);
    if (Result.End == http1::send_end::NotSent) {
      Gate.finish(Ticket, std::nullopt);
      doubt("no connection");
      return end(Ticket, {serving_end::Refused, {}, "server-unreachable", {}});
    }
    if (Result.End != http1::send_end::Answered)
      return onLost(Ticket, Call, Result);
    switch (Context.Dialect.readAnswer(Result.Answer)) {
    case answer_meaning::Final: {
      LostInARow = 0;
      Gate.finish(Ticket, Time);
      constexpr int FirstServerError = 500;
      bool Failed = Result.Answer.Status >= FirstServerError;
      addEvidence(Call, Failed, Time);
      learnSize(Call.Call.Route, Result.Answer.Body.size());
      http1::removeConnectionFields(Result.Answer.Headers);
      return end(Ticket, {serving_end::Answered,
                          std::move(Result.Answer),
                          Failed ? "server-error" : "",
                          {}});
    }
    case answer_meaning::NotRun:
      LostInARow = 0;
      Gate.finish(Ticket, std::nullopt);
      return end(Ticket, {serving_end::Shed, {}, "server-shed", {}});
    case answer_meaning::WrongServer:
      Gate.finish(Ticket, std::nullopt);
      doubt("another server has the address");
      return end(Ticket, {serving_end::Refused, {}, "wrong-server", {}});
    case answer_meaning::Unproven:
      return onLost(Ticket, Call, Result);
    }
  }

  void onLost(ticket Ticket, const serving_call &Call,
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
    if (++LostInARow >= LostToAsk)
      doubt("answers lost in a row");
    end(Ticket, {serving_end::Unknown, {}, Reason, {}});
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
    if (Found->second.Sent)
      Pool.cancel(*Found->second.Sent);
    Calls.erase(Found);
    Gate.withdraw(Ticket);
    Gate.finish(Ticket, std::nullopt);
    Context.Loop.defer([this] { advance(); });
  }

  /// Sends the server nothing more until it shows that it runs.
  void doubt(const char *Reason) {
    if (!Gate.confirmed() || !Server)
      return;
    Gate.setConfirmed(false);
    LostInARow = 0;
    Context.Log.write(
        event::ServerSilent,
        {{"instance", Server->Gated.Instance}, {"reason", Reason}});
    Context.Loop.defer([this] { probe(); });
  }

  void probe() {
    if (Gate.confirmed() || !Server || Probe)
      return;
    // The configuration that names the path has not come yet.
    if (Server->HealthPath.empty())
      return ProbeTimer.startOnce(ProbePeriod);
    Context.Metrics.count("server_probes_total");
    http1::request Request;
    Request.Method = "GET";
    Request.Target = Server->HealthPath;
    Request.Headers.add("Host", Server->Address.str());
    Probe = Pool.send(Server->Address, std::move(Request),
                      {ServerConnectTimeout, std::chrono::milliseconds(0), ""},
                      [this](http1::send_result Result) {
                        Probe.reset();
                        onProbed(Result);
                      });
    ProbeLimit.startOnce(ProbeTimeout);
  }

  void endProbe() {
    if (!Probe)
      return;
    Pool.cancel(*Probe);
    Probe.reset();
    ProbeTimer.startOnce(ProbePeriod);
  }

  void onProbed(const http1::send_result &Result) {
    ProbeLimit.cancel();
    if (Gate.confirmed() || !Server)
      return;
    if (Result.End == http1::send_end::Answered) {
      health_report Health = Context.Dialect.readHealth(Result.Answer);
      if (Health.Healthy && Health.Instance == Server->Gated.Instance) {
        confirm(Health.ColdFor, "probe");
        return advance();
      }
    }
    ProbeTimer.startOnce(ProbePeriod);
  }

  void confirm(std::chrono::milliseconds ColdFor, const char *By) {
    Gate.setColdUntil(now() + ColdFor);
    if (Gate.confirmed())
      return;
    Gate.setConfirmed(true);
    LostInARow = 0;
    Context.Log.write(event::ServerConfirmed,
                      {{"instance", Server->Gated.Instance},
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

void serving_task::onEvidence(
    std::function<void(const rollout::server_evidence &)> Action) {
  Impl->TakeEvidence = std::move(Action);
}

void serving_task::onQuestion(
    std::function<void(std::shared_ptr<http1::exchange>)> Action) {
  Impl->TakeQuestion = std::move(Action);
}

void serving_task::onServer(const std::optional<local_server> &Server) {
  Impl->Server = Server;
  Impl->Gate.setServer(Server ? std::optional(Server->Gated) : std::nullopt);
  Impl->Evidence.clear();
  Impl->advance();
}

void serving_task::onServerSeen(std::chrono::milliseconds ColdFor) {
  if (!Impl->Server)
    return;
  // An announcement may be late, from before the server began to leave; its
  // own word, or a second announcement, rules that out.
  const std::string &Instance = Impl->Server->Gated.Instance;
  if (Impl->SeenInstance != Instance) {
    Impl->SeenInstance = Instance;
    return Impl->probe();
  }
  Impl->confirm(ColdFor, "announcement");
  Impl->advance();
}

void serving_task::onClosed(const std::optional<mesh::gate_refusal> &Reason) {
  Impl->Gate.setClosed(Reason);
  Impl->advance();
}

void serving_task::onBounds(const mesh::mesh_bounds &Bounds,
                            std::size_t Servers) {
  Impl->Gate.repeats().configure(Bounds, Servers);
}

void serving_task::onStop() {
  if (Impl->Listener)
    Impl->Listener->startDraining();
}

serving_port::ticket serving_task::send(const mesh::server_record &,
                                        const peer_call &Call,
                                        const http1::request &Request,
                                        callback Done) {
  ticket Ticket = Impl->offer(Call, Request, std::move(Done));
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

double serving_task::repeatShare() const { return Impl->Gate.repeatShare(); }

void serving_task::shareLinkWith(std::function<std::size_t()> UnsentBytes) {
  Impl->OtherUnsent = std::move(UnsentBytes);
}

std::size_t serving_task::underWay() const { return Impl->Calls.size(); }

std::size_t serving_task::unsentBytes() const { return Impl->unsentBytes(); }

} // namespace gentianlug::gateway
