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

/// Without an answer after this time the connection may be silent.
static constexpr milliseconds SilenceTime{500};
/// Time limit of one question about a call, and the pause before the next one
/// while the call runs and its connection is lost.
static constexpr milliseconds QuestionTimeout{500};
static constexpr milliseconds QuestionPause{100};
/// Mean pause before a second try at a loaded service; the next one waits twice
/// as long.
static constexpr milliseconds RetryPause{20};
/// Answers up to this size are passed on when they are whole, so that a cut
/// one can still be replaced by an error or by the answer of a retry.
static constexpr std::size_t MaxBufferedResponseBytes = 64 << 10;
/// Bytes of a streamed answer that wait for the caller before reading stops.
/// With what is read already, it stays below 256 KB a call.
static constexpr std::size_t MaxStreamBacklogBytes = 128 << 10;

entry_call::entry_call(entry_state &State, net::http_exchange Exchange,
                       details Details, std::function<void()> Ended)
    : State(State), Exchange(std::move(Exchange)), Details(std::move(Details)),
      Ended(std::move(Ended)), Started(State.now()),
      SilenceTimer(State.Context.Loop, [this] { onSilence(); }) {
  Forwarded = makeForwardedRequest(
      this->Exchange.request(), *this->Details.Route,
      this->Details.Parameters.Idempotent, this->Details.Limits.Depth);
}

entry_call::~entry_call() = default;

routing::retry_budget &entry_call::budget() {
  const config::service &Service = *Details.Service;
  return State.Budgets.try_emplace(Service.Name, Service.Retries.Budget)
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
    return settle();
  }
  auto Try = std::make_shared<attempt>();
  const membership::member_record &Member = Pick->Endpoint->Member;
  ++Tries;
  Try->Number = Details.Parameters.IsRetry ? std::max(2u, Tries) : Tries;
  Try->Node = Member.Node;
  Try->Peer = Member.PeerAddress;
  Try->ServerIncarnation = Member.ServerIncarnation;
  logEvent(event::CallRouted, Details.Route->Name.str() + " " +
                                  Details.Parameters.Id.str() + " to " +
                                  routing::describePick(*Pick, Now));
  bool SeenBefore = std::find(TriedNodes.begin(), TriedNodes.end(),
                              Member.Node) != TriedNodes.end();
  TriedNodes.push_back(Member.Node);
  State.Table.onCallStarted(Member.Node);
  // A node that left a try unanswered may have silent connections.
  open(Try,
       SeenBefore ? net::connection_choice::New : net::connection_choice::Any);
}

void entry_call::open(const attempt_ptr &Try, net::connection_choice Choice) {
  Try->Started = State.now();
  setAttemptHeaders(Forwarded.Headers,
                    {Details.Parameters.Id, Try->Number,
                     Details.Limits.nextHopTimeout(Try->Started),
                     Try->ServerIncarnation});
  net::response_receiver Receiver;
  Receiver.Head = [Self = shared_from_this(),
                   Try](const net::http_response &Head) {
    Self->onHead(Try, Head);
  };
  Receiver.Part = [Self = shared_from_this(), Try](std::string_view Part) {
    Self->onPart(Try, Part);
  };
  Receiver.End = [Self = shared_from_this(), Try](const result<void> &End) {
    Self->onEnd(Try, End);
  };
  InFlight.push_back(Try);
  Try->Request = State.Client.stream(Try->Peer, Forwarded,
                                     Details.Limits.remainingTime(Try->Started),
                                     std::move(Receiver), Choice);
  SilenceTimer.startOnce(SilenceTime);
}

bool entry_call::isInFlight(const attempt *Try) const {
  return std::any_of(InFlight.begin(), InFlight.end(),
                     [&](const attempt_ptr &P) { return P.get() == Try; });
}

/// Returns whether \p Head answers \p Try. The server may have restarted since
/// the member table was updated, so a later life is accepted; an answer of an
/// earlier life belongs to an earlier call.
static bool matches(const net::http_headers &Headers, const call_id &Id,
                    incarnation_number Incarnation) {
  const std::string *AnsweredId = Headers.find(CallIdHeader);
  if (!AnsweredId || *AnsweredId != Id.str())
    return false;
  const std::string *Life = Headers.find(ServerIncarnationHeader);
  if (!Life)
    return true;
  incarnation_number Answered = 0;
  std::from_chars(Life->data(), Life->data() + Life->size(), Answered);
  return Answered >= Incarnation;
}

static attempt_outcome outcomeOf(const net::http_headers &Headers) {
  const std::string *Outcome = Headers.find(OutcomeHeader);
  if (Outcome && *Outcome == OutcomeNotRun)
    return attempt_outcome::NotRun;
  if (Outcome && *Outcome == OutcomeUnknown)
    return attempt_outcome::Unknown;
  return attempt_outcome::Responded;
}

void entry_call::onHead(const attempt_ptr &Try,
                        const net::http_response &Head) {
  if (Done)
    return;
  Try->Answer = Head;
  Try->Mismatched =
      !matches(Head.Headers, Details.Parameters.Id, Try->ServerIncarnation);
  if (Try->Mismatched)
    logEvent(event::AnswerMismatched,
             Details.Parameters.Id.str() + " from " + Try->Node.str());
}

void entry_call::onPart(const attempt_ptr &Try, std::string_view Part) {
  if (Done || Try->Mismatched)
    return;
  if (!Try->Streaming) {
    // The text of a refusal is not needed.
    if (outcomeOf(Try->Answer->Headers) != attempt_outcome::Responded)
      return;
    Try->Answer->Body += Part;
    if (Try->Answer->Body.size() > MaxBufferedResponseBytes)
      startStreaming(Try);
    return;
  }
  if (Exchange.sendPart(Part) > MaxStreamBacklogBytes)
    State.Client.pause(Try->Request);
}

/// Prepares the headers of an answer for the caller.
static void prepareAnswer(net::http_headers &Headers, const call_id &Id,
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

void entry_call::startStreaming(const attempt_ptr &Try) {
  Try->Streaming = true;
  AnswerStarted = true;
  SilenceTimer.cancel();
  cancelAttempts(call_outcome::Failed, Try.get());
  // The question about the call must not answer it a second time.
  StateQueryActive = false;
  if (StateQuery)
    State.Client.cancel(*std::exchange(StateQuery, std::nullopt));
  net::http_response Head = *Try->Answer;
  Try->Answer->Body.clear();
  prepareAnswer(Head.Headers, Details.Parameters.Id, State.ClosingConnections);
  Exchange.start(Head);
  Exchange.onDrained([Weak = weak_from_this(), Request = Try->Request] {
    if (auto Self = Weak.lock())
      Self->State.Client.resume(Request);
  });
  if (Exchange.sendPart(std::exchange(Head.Body, {})) > MaxStreamBacklogBytes)
    State.Client.pause(Try->Request);
}

void entry_call::onEnd(const attempt_ptr &Try, const result<void> &End) {
  if (!isInFlight(Try.get()))
    return;
  std::erase(InFlight, Try);
  if (!End && Try->Streaming) {
    observe(*Try, call_outcome::Failed);
    logEvent(event::CallFailed,
             Details.Parameters.Id.str() +
                 " cut in the middle: " + End.failure().message());
    Exchange.abort();
    return end("cut");
  }
  if (!End) {
    observe(*Try, call_outcome::Failed);
    bool Connected =
        End.failure().Code != make_error_code(net_errc::ConnectFailed);
    return onAttemptLost(
        Try, Connected ? attempt_outcome::Unknown : attempt_outcome::NotRun,
        End.failure().message());
  }
  if (Try->Mismatched) {
    observe(*Try, call_outcome::Failed);
    return onAttemptLost(Try, attempt_outcome::Unknown,
                         "answer of another call");
  }
  attempt_outcome Outcome = outcomeOf(Try->Answer->Headers);
  if (Outcome == attempt_outcome::Responded)
    return onAnswered(Try);
  bool Full = false;
  if (const std::string *Load = Try->Answer->Headers.find(LoadHeader)) {
    auto Reported = wire::decodeLoad(*Load);
    Full = Reported && Reported->Limit > 0 &&
           Reported->InFlight + Reported->Queued >= Reported->Limit;
  }
  bool Shed = Outcome == attempt_outcome::NotRun && Full;
  observe(*Try, Shed ? call_outcome::Shed : call_outcome::Failed);
  RetryForbidden |= Try->Answer->Headers.find(NoRetryHeader) != nullptr;
  onAttemptLost(Try, Outcome,
                Outcome == attempt_outcome::NotRun
                    ? "refused by " + Try->Node.str()
                    : "no answer from the server");
}

void entry_call::onAnswered(const attempt_ptr &Try) {
  observe(*Try, Try->Answer->Status >= 500 ? call_outcome::Failed
                                           : call_outcome::Responded);
  cancelAttempts(call_outcome::Failed, nullptr);
  if (Try->Streaming) {
    Exchange.finish();
    return end(OutcomeAnswered);
  }
  deliver(std::move(*Try->Answer));
}

void entry_call::deliver(net::http_response Answer) {
  prepareAnswer(Answer.Headers, Details.Parameters.Id,
                State.ClosingConnections);
  Exchange.reply(Answer);
  end(OutcomeAnswered);
}

void entry_call::onAttemptLost(const attempt_ptr &Try, attempt_outcome Outcome,
                               const std::string &Reason) {
  if (Done)
    return;
  LastReason = Reason;
  bool ServingNodeAnswered =
      Try->Answer && !Try->Mismatched &&
      outcomeOf(Try->Answer->Headers) != attempt_outcome::Responded;
  bool Ask = Outcome == attempt_outcome::Unknown &&
             !Details.Parameters.Idempotent && !ServingNodeAnswered;
  if (Ask)
    return queryCallState(Try);
  MayHaveRun |= Outcome == attempt_outcome::Unknown;
  if (!retry(Outcome, Reason))
    settle();
}

/// The connection may be silent: a non-idempotent call is asked about, another
/// one is sent elsewhere while the first try goes on.
void entry_call::onSilence() {
  if (Done || AnswerStarted || InFlight.empty())
    return;
  attempt_ptr Try = InFlight.back();
  State.Client.closeIdle(Try->Peer);
  if (!Details.Parameters.Idempotent)
    return queryCallState(Try);
  retry(attempt_outcome::Unknown,
        "no answer for " + std::to_string(SilenceTime.count()) + " ms");
}

void entry_call::queryCallState(const attempt_ptr &Try) {
  milliseconds Left = Details.Limits.remainingTime(State.now());
  if (Done || StateQueryActive || AnswerStarted)
    return;
  if (Left <= milliseconds(0)) {
    MayHaveRun = true;
    return settle();
  }
  StateQueryActive = true;
  net::http_request Request;
  Request.Target = CallStatePath + Details.Parameters.Id.str();
  // Only this try is given up when it is unknown; the next one may run.
  Request.Headers.add(AttemptHeader, std::to_string(Try->Number));
  // One more millisecond covers the rounding.
  auto Age =
      std::chrono::duration_cast<milliseconds>(State.now() - Try->Started);
  Request.Headers.add(AttemptAgeHeader, std::to_string(Age.count() + 1));
  StateQuery = State.Client.send(
      Try->Peer, Request, std::min(Left, QuestionTimeout),
      [Self = shared_from_this(), Try](result<net::http_response> Reply) {
        Self->StateQuery.reset();
        Self->StateQueryActive = false;
        if (!Self->Done && !Self->AnswerStarted)
          Self->onCallState(Try, std::move(Reply));
      },
      net::connection_choice::New);
}

/// Runs \p Action after \p Delay, unless the call ends before.
void entry_call::runLater(milliseconds Delay, std::function<void()> Action) {
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

void entry_call::retryStateQuery(const attempt_ptr &Try, milliseconds Delay) {
  StateQueryActive = true;
  runLater(Delay, [this, Try] {
    StateQueryActive = false;
    queryCallState(Try);
    settle();
  });
}

/// Gives a recorded answer its own status; the reply to the question has 200.
static void restoreStatus(net::http_response &Recorded) {
  if (const std::string *Status = Recorded.Headers.find(CallStatusHeader))
    std::from_chars(Status->data(), Status->data() + Status->size(),
                    Recorded.Status);
  Recorded.Headers.erase(CallStatusHeader);
}

void entry_call::onCallState(const attempt_ptr &Try,
                             result<net::http_response> Reply) {
  bool StillUnderWay = isInFlight(Try.get());
  if (!Reply) {
    bool NodeGone =
        Reply.failure().Code == make_error_code(net_errc::ConnectFailed);
    if (!NodeGone)
      return retryStateQuery(Try, QuestionPause);
    MayHaveRun = true;
    LastReason = "serving node is gone: " + Reply.failure().message();
    cancelAttempts(call_outcome::Failed, nullptr);
    return settle();
  }
  const std::string *CallState = Reply->Headers.find(CallStateHeader);
  std::string Answer = CallState ? *CallState : "no state";
  logEvent(event::CallQuestioned, Details.Parameters.Id.str() + " at " +
                                      Try->Node.str() + ": " + Answer);
  if (Answer == CallStateRunning)
    return retryStateQuery(Try, StillUnderWay ? SilenceTime : QuestionPause);
  cancelAttempts(call_outcome::Failed, nullptr);
  bool Recorded = Answer == CallStateAnswered &&
                  outcomeOf(Reply->Headers) == attempt_outcome::Responded;
  if (Recorded) {
    restoreStatus(*Reply);
    return deliver(std::move(*Reply));
  }
  if (Answer != CallStateUnknownId) {
    MayHaveRun = true;
    return settle();
  }
  // The serving node has marked the id as refused, so the call cannot run.
  if (!retry(attempt_outcome::NotRun, "serving node does not know the call"))
    settle();
}

bool entry_call::retry(attempt_outcome Outcome, const std::string &Reason) {
  routing::finished_attempt Ended;
  Ended.Outcome = Outcome;
  Ended.Idempotent = Details.Parameters.Idempotent;
  Ended.ArrivedAsRetry = Details.Parameters.IsRetry;
  Ended.RetryForbidden = RetryForbidden;
  Ended.Attempts = Tries;
  Ended.MaxAttempts = Details.Service->Retries.MaxTries;
  Ended.RemainingTime = Details.Limits.remainingTime(State.now());
  routing::retry_decision Decision = routing::decideRetry(Ended, budget());
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
  // a service with one endpoint, wait: a full queue needs time to get shorter.
  milliseconds Delay(0);
  if (Tries > 1 || State.Table.endpoints(Details.Service->Name).size() < 2)
    Delay = drawJitter(State.Gen, RetryPause * Tries);
  RetryPending = true;
  runLater(std::min(Delay, Ended.RemainingTime / 2), [this] {
    RetryPending = false;
    sendAttempt();
  });
  return true;
}

/// Ends the call with an error when nothing can answer it any more.
void entry_call::settle() {
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
  // This node has tried; tries of nodes further up would multiply.
  if (Tries > 0)
    Response.Headers.add(NoRetryHeader, "1");
  prepareAnswer(Response.Headers, Details.Parameters.Id,
                State.ClosingConnections);
  Exchange.reply(Response);
  end(Outcome);
}

void entry_call::cancelAttempts(call_outcome Verdict, const attempt *Except) {
  std::vector<attempt_ptr> Kept;
  for (const attempt_ptr &Try : std::exchange(InFlight, {})) {
    if (Try.get() == Except) {
      Kept.push_back(Try);
      continue;
    }
    observe(*Try, Verdict);
    State.Client.cancel(Try->Request);
  }
  InFlight = std::move(Kept);
}

void entry_call::observe(const attempt &Try, call_outcome Verdict) {
  routing::call_observation Observation;
  Observation.Outcome = Verdict;
  steady_time Now = State.now();
  Observation.Latency =
      std::chrono::duration_cast<std::chrono::microseconds>(Now - Try.Started);
  if (Try.Answer)
    if (const std::string *Load = Try.Answer->Headers.find(LoadHeader))
      Observation.Load = wire::decodeLoad(*Load);
  auto Ejection = State.Table.onCallFinished(Try.Node, Observation, Now);
  if (Ejection)
    logEvent(event::EndpointEjected,
             Ejection->Node.str() + " for " +
                 std::to_string(Ejection->Duration.count()) +
                 " ms: " + Ejection->Reason);
}

void entry_call::end(const char *Outcome) {
  if (std::exchange(Done, true))
    return;
  SilenceTimer.cancel();
  if (StateQuery)
    State.Client.cancel(*std::exchange(StateQuery, std::nullopt));
  State.Context.Metrics.count(std::string("gentianlug_calls_total{outcome=\"") +
                              Outcome + "\"}");
  State.Context.Metrics.observe("gentianlug_call_seconds",
                                State.now() - Started);
  // The caller of this function may be an action of a timer of the call.
  State.Context.Loop.defer([Self = shared_from_this()] {});
  std::exchange(Ended, nullptr)();
}

} // namespace gentianlug::node
