#include "entry_call.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/wire/load_header.h"
#include "rollout_selector.h"

#include <algorithm>
#include <charconv>

namespace gentianlug::node {

using net::net_errc;
using observe::event;
using observe::logEvent;
using routing::attempt_outcome;
using routing::call_outcome;
using std::chrono::milliseconds;

/// After this time without a response the connection may be half-open: the
/// call is retried or its state is queried.
static constexpr milliseconds SlowResponseDelay{500};
/// Time limit of one call state query, and the delay before the next one while
/// the call is running and its connection is lost.
static constexpr milliseconds StateQueryTimeout{500};
static constexpr milliseconds StateQueryInterval{100};
/// Mean delay before the second attempt at a loaded service. It grows linearly
/// with the number of attempts.
static constexpr milliseconds RetryBackoff{20};
/// Responses up to this size are buffered and forwarded when complete, so that
/// a truncated one can still be replaced by an error or by the response to a
/// retry.
static constexpr std::size_t MaxBufferedResponseBytes = 64 << 10;
/// Bytes of a streamed response that may wait for the caller before reading
/// from the serving node is paused. Together with the data already read, the
/// memory per call stays below 256 KB.
static constexpr std::size_t MaxStreamBacklogBytes = 128 << 10;

entry_call::entry_call(entry_state &State, net::http_exchange Exchange,
                       details Details, std::function<void()> OnCompleted)
    : State(State), Exchange(std::move(Exchange)), Details(std::move(Details)),
      OnCompleted(std::move(OnCompleted)), Started(State.now()),
      SlowResponseTimer(State.Context.Loop, [this] { onSlowResponse(); }) {
  Forwarded = makeForwardedRequest(
      this->Exchange.request(), *this->Details.Route,
      this->Details.Parameters.Idempotent, this->Details.Limits.Depth);
}

entry_call::~entry_call() = default;

routing::retry_budget &entry_call::budget() {
  const config::service &Service = *Details.Service;
  return State.Budgets
      .try_emplace(Service.Name, Service.RetryPolicy.BudgetRatio)
      .first->second;
}

void entry_call::start() {
  Version = rollout_selector(*Details.Snapshot)
                .selectVersion(*Details.Service, Details.Parameters.Idempotent,
                               State.Gen, State.Context.Clock.wallNow());
  Exchange.onDisconnect([Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->cancelAttempts(call_outcome::Canceled, nullptr);
    Self->end("canceled");
  });
  if (!Details.Parameters.IsRetry)
    budget().onFirstAttempt();
  sendAttempt();
}

void entry_call::sendAttempt() {
  steady_time Now = State.now();
  auto Pick = State.Picker->pickEndpoint(
      {State.Table.endpoints(Details.Service->Name), Version,
       Details.Service->Version, State.OwnZone,
       Details.Snapshot->Configuration->Configuration.ZoneRoundTrip,
       State.Zones, TriedNodes},
      State.Gen, Now);
  if (!Pick) {
    LastReason = Details.Service->Name.str() + ": " + Pick.failure().message();
    return failIfExhausted();
  }
  auto Attempt = std::make_shared<attempt>();
  const membership::member_record &Member = Pick->Endpoint->Member;
  ++AttemptCount;
  Attempt->Number =
      Details.Parameters.IsRetry ? std::max(2u, AttemptCount) : AttemptCount;
  Attempt->Node = Member.Node;
  Attempt->Peer = Member.PeerAddress;
  Attempt->ServerIncarnation = Member.ServerIncarnation;
  logEvent(event::CallRouted, Details.Route->Name.str() + " " +
                                  Details.Parameters.Id.str() + " to " +
                                  routing::describePick(*Pick, Now));
  bool TriedBefore = std::find(TriedNodes.begin(), TriedNodes.end(),
                               Member.Node) != TriedNodes.end();
  TriedNodes.push_back(Member.Node);
  State.Table.onCallStarted(Member.Node);
  // Idle connections to a node that left an attempt unanswered may be
  // half-open.
  openAttempt(Attempt, TriedBefore ? net::connection_choice::New
                                   : net::connection_choice::Any);
}

void entry_call::openAttempt(const attempt_ptr &Attempt,
                             net::connection_choice Choice) {
  Attempt->Started = State.now();
  setAttemptHeaders(Forwarded.Headers,
                    {Details.Parameters.Id, Attempt->Number,
                     Details.Limits.nextHopTimeout(Attempt->Started),
                     Attempt->ServerIncarnation});
  net::response_callbacks Receiver;
  Receiver.OnHeaders = [Self = shared_from_this(),
                        Attempt](const net::http_response &Head) {
    Self->onHead(Attempt, Head);
  };
  Receiver.OnBodyPart = [Self = shared_from_this(),
                         Attempt](std::string_view Part) {
    Self->onPart(Attempt, Part);
  };
  Receiver.OnComplete = [Self = shared_from_this(),
                         Attempt](const result<void> &End) {
    Self->onEnd(Attempt, End);
  };
  InFlight.push_back(Attempt);
  Attempt->Request = State.Client.stream(
      Attempt->Peer, Forwarded, Details.Limits.remainingTime(Attempt->Started),
      std::move(Receiver), Choice);
  SlowResponseTimer.startOnce(SlowResponseDelay);
}

bool entry_call::isInFlight(const attempt *Attempt) const {
  return std::any_of(InFlight.begin(), InFlight.end(),
                     [&](const attempt_ptr &P) { return P.get() == Attempt; });
}

/// Returns whether a response with \p Headers belongs to the call \p Id. The
/// server may have restarted since the member table was updated, so a later
/// incarnation is accepted; a response of an earlier incarnation belongs to an
/// earlier call.
static bool matchesAttempt(const net::http_headers &Headers, const call_id &Id,
                           incarnation_number Incarnation) {
  const std::string *ResponseId = Headers.find(CallIdHeader);
  if (!ResponseId || *ResponseId != Id.str())
    return false;
  const std::string *Text = Headers.find(ServerIncarnationHeader);
  if (!Text)
    return true;
  incarnation_number ResponseIncarnation = 0;
  std::from_chars(Text->data(), Text->data() + Text->size(),
                  ResponseIncarnation);
  return ResponseIncarnation >= Incarnation;
}

static attempt_outcome readOutcome(const net::http_headers &Headers) {
  const std::string *Outcome = Headers.find(OutcomeHeader);
  if (Outcome && *Outcome == OutcomeNotRun)
    return attempt_outcome::NotRun;
  if (Outcome && *Outcome == OutcomeUnknown)
    return attempt_outcome::Unknown;
  return attempt_outcome::Responded;
}

void entry_call::onHead(const attempt_ptr &Attempt,
                        const net::http_response &Head) {
  if (Done)
    return;
  Attempt->Response = Head;
  Attempt->Mismatched = !matchesAttempt(Head.Headers, Details.Parameters.Id,
                                        Attempt->ServerIncarnation);
  if (Attempt->Mismatched)
    logEvent(event::AnswerMismatched,
             Details.Parameters.Id.str() + " from " + Attempt->Node.str());
}

void entry_call::onPart(const attempt_ptr &Attempt, std::string_view Part) {
  if (Done || Attempt->Mismatched)
    return;
  if (!Attempt->Streaming) {
    // The body of a refusal is not forwarded.
    if (readOutcome(Attempt->Response->Headers) != attempt_outcome::Responded)
      return;
    Attempt->Response->Body += Part;
    if (Attempt->Response->Body.size() > MaxBufferedResponseBytes)
      startStreaming(Attempt);
    return;
  }
  if (Exchange.sendBodyPart(Part) > MaxStreamBacklogBytes)
    State.Client.pause(Attempt->Request);
}

/// Prepares the headers of a response for the caller.
static void prepareResponse(net::http_headers &Headers, const call_id &Id,
                            bool Closing) {
  eraseHopByHopHeaders(Headers);
  Headers.erase(LoadHeader);
  Headers.erase(CallStateHeader);
  Headers.set(CallIdHeader, Id.str());
  if (!Headers.find(OutcomeHeader))
    Headers.add(OutcomeHeader, OutcomeAnswered);
  if (Closing)
    Headers.add("Connection", "close");
}

void entry_call::startStreaming(const attempt_ptr &Attempt) {
  Attempt->Streaming = true;
  ResponseStarted = true;
  SlowResponseTimer.cancel();
  cancelAttempts(call_outcome::Failed, Attempt.get());
  // The result of a state query must not complete the call a second time.
  StateQueryActive = false;
  if (StateQuery)
    State.Client.cancel(*std::exchange(StateQuery, std::nullopt));
  net::http_response Head = *Attempt->Response;
  Attempt->Response->Body.clear();
  prepareResponse(Head.Headers, Details.Parameters.Id,
                  State.ClosingConnections);
  Exchange.start(Head);
  Exchange.onDrained([Weak = weak_from_this(), Request = Attempt->Request] {
    if (auto Self = Weak.lock())
      Self->State.Client.resume(Request);
  });
  if (Exchange.sendBodyPart(std::exchange(Head.Body, {})) >
      MaxStreamBacklogBytes)
    State.Client.pause(Attempt->Request);
}

void entry_call::onEnd(const attempt_ptr &Attempt, const result<void> &End) {
  if (!isInFlight(Attempt.get()))
    return;
  std::erase(InFlight, Attempt);
  if (!End && Attempt->Streaming) {
    recordOutcome(*Attempt, call_outcome::Failed);
    logEvent(event::CallFailed,
             Details.Parameters.Id.str() +
                 ": response truncated: " + End.failure().message());
    Exchange.abort();
    return end("cut");
  }
  if (!End) {
    recordOutcome(*Attempt, call_outcome::Failed);
    bool ConnectionOpened =
        End.failure().Code != make_error_code(net_errc::ConnectFailed);
    return onAttemptLost(Attempt,
                         ConnectionOpened ? attempt_outcome::Unknown
                                          : attempt_outcome::NotRun,
                         End.failure().message());
  }
  if (Attempt->Mismatched) {
    recordOutcome(*Attempt, call_outcome::Failed);
    return onAttemptLost(Attempt, attempt_outcome::Unknown,
                         "answer of another call");
  }
  attempt_outcome Outcome = readOutcome(Attempt->Response->Headers);
  if (Outcome == attempt_outcome::Responded)
    return onResponse(Attempt);
  bool Full = false;
  if (const std::string *Load = Attempt->Response->Headers.find(LoadHeader)) {
    auto Reported = wire::decodeLoad(*Load);
    Full = Reported && Reported->Limit > 0 &&
           Reported->InFlight + Reported->Queued >= Reported->Limit;
  }
  bool IsShed = Outcome == attempt_outcome::NotRun && Full;
  recordOutcome(*Attempt, IsShed ? call_outcome::Shed : call_outcome::Failed);
  RetryForbidden |= Attempt->Response->Headers.find(NoRetryHeader) != nullptr;
  onAttemptLost(Attempt, Outcome,
                Outcome == attempt_outcome::NotRun
                    ? "refused by " + Attempt->Node.str()
                    : "no answer from the server");
}

void entry_call::onResponse(const attempt_ptr &Attempt) {
  recordOutcome(*Attempt, Attempt->Response->Status >= 500
                              ? call_outcome::Failed
                              : call_outcome::Responded);
  cancelAttempts(call_outcome::Failed, nullptr);
  if (Attempt->Streaming) {
    Exchange.finish();
    return end(OutcomeAnswered);
  }
  deliverResponse(std::move(*Attempt->Response));
}

void entry_call::deliverResponse(net::http_response Response) {
  prepareResponse(Response.Headers, Details.Parameters.Id,
                  State.ClosingConnections);
  Exchange.reply(Response);
  end(OutcomeAnswered);
}

void entry_call::onAttemptLost(const attempt_ptr &Attempt,
                               attempt_outcome Outcome,
                               const std::string &Reason) {
  if (Done)
    return;
  LastReason = Reason;
  bool ServingNodeResponded =
      Attempt->Response && !Attempt->Mismatched &&
      readOutcome(Attempt->Response->Headers) != attempt_outcome::Responded;
  bool NeedsStateQuery = Outcome == attempt_outcome::Unknown &&
                         !Details.Parameters.Idempotent &&
                         !ServingNodeResponded;
  if (NeedsStateQuery)
    return queryCallState(Attempt);
  MayHaveRun |= Outcome == attempt_outcome::Unknown;
  if (!retry(Outcome, Reason))
    failIfExhausted();
}

/// The connection may be half-open. The state of a non-idempotent call is
/// queried; an idempotent one is sent to another endpoint while the first
/// attempt continues.
void entry_call::onSlowResponse() {
  if (Done || ResponseStarted || InFlight.empty())
    return;
  attempt_ptr Attempt = InFlight.back();
  State.Client.closeIdle(Attempt->Peer);
  if (!Details.Parameters.Idempotent)
    return queryCallState(Attempt);
  retry(attempt_outcome::Unknown,
        "no response within " + std::to_string(SlowResponseDelay.count()) +
            " ms");
}

void entry_call::queryCallState(const attempt_ptr &Attempt) {
  milliseconds RemainingTime = Details.Limits.remainingTime(State.now());
  if (Done || StateQueryActive || ResponseStarted)
    return;
  if (RemainingTime <= milliseconds(0)) {
    MayHaveRun = true;
    return failIfExhausted();
  }
  StateQueryActive = true;
  net::http_request Request;
  Request.Target = CallStatePath + Details.Parameters.Id.str();
  // If the call is unknown, the serving node refuses only this attempt; the
  // next one may run.
  Request.Headers.add(AttemptHeader, std::to_string(Attempt->Number));
  // Rounds up, since the cast truncates.
  auto Age =
      std::chrono::duration_cast<milliseconds>(State.now() - Attempt->Started);
  Request.Headers.add(AttemptAgeHeader, std::to_string(Age.count() + 1));
  StateQuery = State.Client.send(
      Attempt->Peer, Request, std::min(RemainingTime, StateQueryTimeout),
      [Self = shared_from_this(), Attempt](result<net::http_response> Reply) {
        Self->StateQuery.reset();
        Self->StateQueryActive = false;
        if (!Self->Done && !Self->ResponseStarted)
          Self->onCallState(Attempt, std::move(Reply));
      },
      net::connection_choice::New);
}

/// Runs \p Action after \p Delay unless the call has completed by then.
void entry_call::runAfter(milliseconds Delay, std::function<void()> Action) {
  auto Timer = std::make_shared<net::timer>(State.Context.Loop, [] {});
  *Timer = net::timer(State.Context.Loop, [Self = shared_from_this(),
                                           Action = std::move(Action),
                                           Timer]() mutable {
    Self->State.Context.Loop.defer([Kept = std::exchange(Timer, nullptr)] {});
    if (!Self->Done)
      Action();
  });
  Timer->startOnce(Delay);
}

void entry_call::retryStateQuery(const attempt_ptr &Attempt,
                                 milliseconds Delay) {
  StateQueryActive = true;
  runAfter(Delay, [this, Attempt] {
    StateQueryActive = false;
    queryCallState(Attempt);
    failIfExhausted();
  });
}

/// Restores the status of a recorded response; the reply to a state query has
/// status 200.
static void restoreRecordedStatus(net::http_response &Recorded) {
  if (const std::string *Status = Recorded.Headers.find(CallStatusHeader))
    std::from_chars(Status->data(), Status->data() + Status->size(),
                    Recorded.Status);
  Recorded.Headers.erase(CallStatusHeader);
}

void entry_call::onCallState(const attempt_ptr &Attempt,
                             result<net::http_response> Reply) {
  bool StillInFlight = isInFlight(Attempt.get());
  if (!Reply) {
    bool NodeUnreachable =
        Reply.failure().Code == make_error_code(net_errc::ConnectFailed);
    if (!NodeUnreachable)
      return retryStateQuery(Attempt, StateQueryInterval);
    MayHaveRun = true;
    LastReason = "serving node is gone: " + Reply.failure().message();
    cancelAttempts(call_outcome::Failed, nullptr);
    return failIfExhausted();
  }
  const std::string *CallState = Reply->Headers.find(CallStateHeader);
  std::string CallStateName = CallState ? *CallState : "no state";
  logEvent(event::CallQuestioned, Details.Parameters.Id.str() + " at " +
                                      Attempt->Node.str() + ": " +
                                      CallStateName);
  if (CallStateName == CallStateRunning)
    return retryStateQuery(Attempt, StillInFlight ? SlowResponseDelay
                                                  : StateQueryInterval);
  cancelAttempts(call_outcome::Failed, nullptr);
  bool Recorded = CallStateName == CallStateAnswered &&
                  readOutcome(Reply->Headers) == attempt_outcome::Responded;
  if (Recorded) {
    restoreRecordedStatus(*Reply);
    return deliverResponse(std::move(*Reply));
  }
  if (CallStateName != CallStateUnknownId) {
    MayHaveRun = true;
    return failIfExhausted();
  }
  // The serving node has recorded the id as refused, so the call cannot run.
  if (!retry(attempt_outcome::NotRun, "serving node has no record of the call"))
    failIfExhausted();
}

bool entry_call::retry(attempt_outcome Outcome, const std::string &Reason) {
  routing::finished_attempt Finished;
  Finished.Outcome = Outcome;
  Finished.Idempotent = Details.Parameters.Idempotent;
  Finished.ArrivedAsRetry = Details.Parameters.IsRetry;
  Finished.RetryForbidden = RetryForbidden;
  Finished.Attempts = AttemptCount;
  Finished.MaxAttempts = Details.Service->RetryPolicy.MaxAttempts;
  Finished.RemainingTime = Details.Limits.remainingTime(State.now());
  routing::retry_decision Decision = routing::decideRetry(Finished, budget());
  logEvent(Decision.Retry ? event::CallRetried : event::CallNotRetried,
           Details.Parameters.Id.str() + ": " + Reason + ": " +
               std::string(Decision.Reason));
  if (!Decision.Retry)
    return false;
  State.Context.Metrics.count("gentianlug_retries_total");
  if (Outcome != attempt_outcome::NotRun) {
    sendAttempt();
    return true;
  }
  // The first retry goes to another endpoint at once. Later ones, and those of
  // a service with one endpoint, are delayed so that a full queue can drain.
  milliseconds Delay(0);
  if (AttemptCount > 1 ||
      State.Table.endpoints(Details.Service->Name).size() < 2)
    Delay = drawJitter(State.Gen, RetryBackoff * AttemptCount);
  RetryPending = true;
  runAfter(std::min(Delay, Finished.RemainingTime / 2), [this] {
    RetryPending = false;
    sendAttempt();
  });
  return true;
}

/// Fails the call when no attempt, state query or scheduled retry is left that
/// could produce a response.
void entry_call::failIfExhausted() {
  if (Done || StateQueryActive || RetryPending || !InFlight.empty())
    return;
  if (MayHaveRun)
    return fail(502, OutcomeUnknown, LastReason);
  fail(503, OutcomeNotRun, LastReason);
}

void entry_call::fail(int Status, const char *Outcome,
                      const std::string &Reason) {
  logEvent(Outcome == OutcomeNotRun ? event::CallRefused : event::CallFailed,
           Details.Parameters.Id.str() + ": " + Reason);
  net::http_response Response = net::errorResponse(Status, Reason);
  Response.Headers.add(OutcomeHeader, Outcome);
  // This node has sent attempts already; retries by upstream nodes as well
  // would multiply them.
  if (AttemptCount > 0)
    Response.Headers.add(NoRetryHeader, "1");
  prepareResponse(Response.Headers, Details.Parameters.Id,
                  State.ClosingConnections);
  Exchange.reply(Response);
  end(Outcome);
}

void entry_call::cancelAttempts(call_outcome Outcome, const attempt *Excluded) {
  std::vector<attempt_ptr> Kept;
  for (const attempt_ptr &Attempt : std::exchange(InFlight, {})) {
    if (Attempt.get() == Excluded) {
      Kept.push_back(Attempt);
      continue;
    }
    recordOutcome(*Attempt, Outcome);
    State.Client.cancel(Attempt->Request);
  }
  InFlight = std::move(Kept);
}

void entry_call::recordOutcome(const attempt &Attempt, call_outcome Outcome) {
  routing::call_observation Observation;
  Observation.Outcome = Outcome;
  steady_time Now = State.now();
  Observation.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Now - Attempt.Started);
  if (Attempt.Response)
    if (const std::string *Load = Attempt.Response->Headers.find(LoadHeader))
      Observation.Load = wire::decodeLoad(*Load);
  auto Ejection = State.Table.onCallFinished(Attempt.Node, Observation, Now);
  if (Ejection)
    logEvent(event::EndpointEjected,
             Ejection->Node.str() + " for " +
                 std::to_string(Ejection->Duration.count()) +
                 " ms: " + Ejection->Reason);
}

void entry_call::end(const char *Outcome) {
  if (std::exchange(Done, true))
    return;
  SlowResponseTimer.cancel();
  if (StateQuery)
    State.Client.cancel(*std::exchange(StateQuery, std::nullopt));
  State.Context.Metrics.count(std::string("gentianlug_calls_total{outcome=\"") +
                              Outcome + "\"}");
  State.Context.Metrics.observe("gentianlug_call_seconds",
                                State.now() - Started);
  // This function may run in a timer callback of the call, so the call is
  // destroyed later.
  State.Context.Loop.defer([Self = shared_from_this()] {});
  std::exchange(OnCompleted, nullptr)();
}

} // namespace gentianlug::node
