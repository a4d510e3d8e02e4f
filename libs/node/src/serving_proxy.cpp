#include "serving_proxy.h"

#include "evidence_collector.h"
#include "gentianlug/admission/gradient_limit.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"
#include "local_server.h"
#include "server_link.h"
#include "serving_call.h"

#include <charconv>

namespace gentianlug::node {

using admission::admission_action;
using admission::call_ledger;
using admission::call_ticket;
using observe::event;
using observe::logEvent;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Calls with more hops than this are refused, so that a loop of services ends.
static constexpr std::uint32_t MaxDepth = 16;
/// A non-idempotent call is waited for beyond its deadline, so that its answer
/// can be recorded for a caller that asks again.
static constexpr milliseconds RecordGrace{5000};
static constexpr milliseconds EvidencePeriod{250};
/// Time for the answer to a call to come on the connection of another call,
/// after the answers have been swapped.
static constexpr milliseconds StrayTime{1000};
/// From this age of a server's life on its latencies are evidence about its
/// version, whether or not it counts as cold.
static constexpr milliseconds LongestColdLife{10000};
/// Shortest delay of the timer that drops calls from the queue.
static constexpr std::chrono::microseconds ShortestDelay{200};

static constexpr std::string_view QuestionPrefix = CallStatePath;

static incarnation_number readIncarnation(const net::http_response &Answer) {
  const std::string *Text = Answer.Headers.find(ServerIncarnationHeader);
  incarnation_number Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

struct serving_proxy::impl {
  context Context;
  outputs Outputs;
  admission::admission_control Admission;
  call_ledger Ledger;
  server_link Link;
  local_server Local;
  evidence_collector Evidence;
  net::timer AdvanceTimer;
  net::timer EvidenceTimer;
  net::timer SilenceTimer;
  bool EvidenceDue = false;
  /// Start of the known life of the server, by its incarnation.
  steady_time LifeStart{};
  std::unordered_map<call_ticket, std::unique_ptr<serving_call>> Calls;
  std::unordered_map<call_id, call_ticket> Tickets;
  /// Answers to other calls than those that their connections carried.
  std::unordered_map<call_ticket, answer_relay> Strays;
  call_ticket NextTicket = 1;
  steady_time Started = Context.Clock.steadyNow();
  bool Draining = false;

  impl(context C, outputs O)
      : Context(std::move(C)), Outputs(std::move(O)),
        Admission(std::make_unique<admission::gradient_limit>()),
        Link(Context.Loop, Context.Clock), Local(Context.Node),
        AdvanceTimer(Context.Loop, [this] { advance(); }),
        EvidenceTimer(Context.Loop, [this] { sendEvidence(); }),
        SilenceTimer(Context.Loop, [this] { onSilence(); }) {}

  steady_time now() const { return Context.Clock.steadyNow(); }

  // State of the server.

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot) {
    bool WasOut = Local.zoneOut();
    Local.onSnapshot(std::move(Snapshot));
    // Traffic that comes back to a zone meets servers that may be cold.
    if (WasOut && !Local.zoneOut())
      Admission.restartCold(now());
    configure();
  }

  void onAnnouncement(const wire::server_announcement &Announcement) {
    bool NewLife = Announcement.Incarnation > Admission.incarnation();
    if (NewLife) {
      sendEvidence();
      LifeStart = now();
    }
    Local.onAnnouncement(Announcement);
    SilenceTimer.startOnce(ServerSilenceTime);
    configure();
  }

  void onSilence() {
    logEvent(event::ServerSilent, Local.describe());
    Local.onSilence();
    configure();
  }

  void onVersionCut(const version_cut &Cut) {
    logEvent(event::VersionCutHere,
             Cut.Version.str() + (Cut.Cut ? " gets no calls" : " is free"));
    Local.onVersionCut(Cut);
    configure();
  }

  /// Takes over what the server and the configuration say now.
  void configure() {
    if (const wire::server_announcement *Server = Local.server()) {
      config::server_limits Limits = Local.limits();
      Link.configure(Server->Address, Limits.ConnectCost,
                     std::min(Limits.Connections, Server->Connections));
      Admission.onServer({std::min(Limits.Slots, Server->Slots),
                          Limits.QueueLength, Server->Incarnation},
                         now());
    }
    Admission.setCustomers(Local.customers());
    if (auto Reason = Local.refusal())
      refuseQueued(*Reason);
    advance();
  }

  // Requests of the peer listener.

  void onRequest(const net::http_exchange &Exchange) {
    std::string_view Path = net::pathOf(Exchange.request().Target);
    if (Exchange.request().Headers.find(CallIdHeader))
      return onCall(Exchange);
    if (Path == PingPath)
      return Exchange.reply(net::jsonResponse(200, "{}"));
    if (Path.substr(0, QuestionPrefix.size()) == QuestionPrefix)
      return onQuestion(
          Exchange, call_id(std::string(Path.substr(QuestionPrefix.size()))));
    onCall(Exchange);
  }

  void onCall(const net::http_exchange &Exchange) {
    call_details Details = readCallDetails(Exchange.request());
    auto Known = Tickets.find(Details.Id);
    if (Known != Tickets.end() && !Details.Idempotent &&
        !Calls.at(Known->second)->Details.Idempotent)
      return join(Known->second, Exchange);
    if (!mayBegin(Exchange, Details))
      return;
    if (auto Reason = refusal(Details)) {
      if (!Details.Idempotent)
        Ledger.abandon(Details.Id, now());
      return refuse(Exchange, Details.Id, *Reason);
    }
    call_ticket Ticket = NextTicket++;
    auto Call = std::make_unique<serving_call>();
    Call->Request = Exchange.request();
    Call->Deadline = now() + Details.TimeLeft;
    Call->Details = std::move(Details);
    const call_details &Kept = Call->Details;
    admission::offered_call Offered{Ticket, Kept.Customer, Kept.Route,
                                    Kept.Priority, Call->Deadline};
    // A second idempotent call with the id runs as well and stays unlisted.
    if (!Kept.Id.empty())
      Tickets.try_emplace(Kept.Id, Ticket);
    Calls[Ticket] = std::move(Call);
    join(Ticket, Exchange);
    Admission.offer(Offered, now());
    advance();
  }

  /// Answers a call that must not run again.
  bool mayBegin(const net::http_exchange &Exchange,
                const call_details &Details) {
    if (Details.Id.empty())
      return true;
    if (Ledger.refuses(Details.Id, Details.Attempt, now())) {
      refuse(Exchange, Details.Id, "this attempt has been given up");
      return false;
    }
    if (Details.Idempotent)
      return true;
    switch (Ledger.begin(Details.Id, Details.Attempt, now())) {
    case call_ledger::state::Started:
      return true;
    case call_ledger::state::Answered:
      Context.Metrics.count("gentianlug_serving_calls_repeated_total");
      Exchange.reply(fromRecord(*Ledger.answer(Details.Id)));
      return false;
    case call_ledger::state::Full:
      logEvent(event::LedgerFull, Details.Id.str());
      refuse(Exchange, Details.Id, "no room to remember another call");
      return false;
    case call_ledger::state::Refused:
      refuse(Exchange, Details.Id, "this call has been given up");
      return false;
    case call_ledger::state::Running:
    case call_ledger::state::AnswerDropped:
      break;
    }
    Exchange.reply(
        unknownAnswer(Details.Id, "the call ran; its answer was not kept"));
    return false;
  }

  std::optional<std::string> refusal(const call_details &Details) const {
    if (Draining)
      return "node is stopping";
    if (Details.Depth > MaxDepth)
      return "too many hops";
    return Local.refusal();
  }

  void onQuestion(const net::http_exchange &Exchange, const call_id &Id) {
    net::http_response Reply = net::jsonResponse(200, "{}");
    std::uint32_t Attempt =
        readAttempt(Exchange.request(), admission::AllAttempts);
    call_ledger::state State = Tickets.count(Id)
                                   ? call_ledger::state::Running
                                   : Ledger.ask(Id, Attempt, now());
    if (State == call_ledger::state::Refused &&
        now() - readAttemptAge(Exchange.request()) <= Started)
      return Exchange.reply(net::errorResponse(
          503, "the call may have run in an earlier life of this node"));
    switch (State) {
    case call_ledger::state::Started:
    case call_ledger::state::Running:
      Reply.Headers.add(CallStateHeader, CallStateRunning);
      break;
    case call_ledger::state::Refused:
      Reply.Headers.add(CallStateHeader, CallStateUnknownId);
      break;
    case call_ledger::state::Full:
      // Without room to refuse the id, it must not be called unknown.
      Reply = net::errorResponse(503, "no room to remember the id");
      break;
    case call_ledger::state::Answered:
      Reply = fromRecord(*Ledger.answer(Id));
      break;
    case call_ledger::state::AnswerDropped:
      Reply = unknownAnswer(Id, "the call ran; its answer was not kept");
      break;
    }
    if (State == call_ledger::state::Answered ||
        State == call_ledger::state::AnswerDropped) {
      Reply.Headers.set(CallStateHeader, CallStateAnswered);
      Reply.Headers.set(CallStatusHeader, std::to_string(Reply.Status));
      Reply.Status = 200;
    }
    Exchange.reply(Reply);
  }

  // Life of a call.

  /// Lets one more copy of a call wait for its answer.
  void join(call_ticket Ticket, const net::http_exchange &Exchange) {
    serving_call &Call = *Calls.at(Ticket);
    Call.Exchanges.push_back(Exchange);
    ++Call.Present;
    Exchange.onDisconnect([this, Ticket] { onGone(Ticket); });
  }

  void advance() {
    for (const admission_action &Action : Admission.advance(now())) {
      if (Action.Kind == admission_action::kind::Start)
        start(Action.Ticket);
      else
        refuseCall(Action.Ticket, admission::describe(Action.Reason));
    }
    if (auto Next = Admission.nextEvent())
      AdvanceTimer.startOnce(
          std::max(ShortestDelay,
                   duration_cast<std::chrono::microseconds>(*Next - now())));
  }

  void start(call_ticket Ticket) {
    serving_call &Call = *Calls.at(Ticket);
    Call.Sent = true;
    net::http_request Request = std::move(Call.Request);
    auto Left = duration_cast<milliseconds>(Call.Deadline - now());
    Request.Headers.set(DeadlineHeader, std::to_string(Left.count()));
    Request.Headers.erase("Connection");
    milliseconds Grace =
        Call.Details.Idempotent ? milliseconds(0) : RecordGrace;
    Link.send(
        Ticket, std::move(Request), Call.Deadline + Grace,
        {[this, Ticket](const net::http_response &Head) {
           onHead(Ticket, Head);
         },
         [this, Ticket](std::string_view Part) { onPart(Ticket, Part); },
         [this, Ticket](result<void> End) { onEnd(Ticket, std::move(End)); }});
  }

  /// Returns whether \p Head answers the call that its connection carried. An
  /// answer without an id counts as such.
  bool isOwnAnswer(call_ticket Ticket, const net::http_response &Head) const {
    auto Entry = Calls.find(Ticket);
    const std::string *Id = Head.Headers.find(CallIdHeader);
    return Entry != Calls.end() &&
           (!Id || *Id == Entry->second->Details.Id.str());
  }

  void onHead(call_ticket Ticket, net::http_response Head) {
    if (!isOwnAnswer(Ticket, Head)) {
      logEvent(event::AnswerMismatched, Local.describe());
      Strays[Ticket].onHead(std::move(Head));
      return;
    }
    serving_call &Call = *Calls.at(Ticket);
    Admission.onFirstByte(Ticket, now());
    Head.Headers.erase("Connection");
    Head.Headers.erase("Transfer-Encoding");
    describe(Head, Call.Details.Id, OutcomeAnswered);
    Call.Relay.onHead(std::move(Head));
  }

  void onPart(call_ticket Ticket, std::string_view Part) {
    if (auto Stray = Strays.find(Ticket); Stray != Strays.end())
      return Stray->second.collect(Part);
    serving_call &Call = *Calls.at(Ticket);
    bool WasStreaming = Call.Relay.streaming();
    const net::http_exchange &Reader = Call.Exchanges.front();
    bool Pause = Call.Relay.onPart(Part, Reader);
    if (Call.Relay.streaming() && !WasStreaming)
      Reader.onDrained([this, Ticket] { Link.resume(Ticket); });
    if (Pause && Call.Present > 0)
      Link.pause(Ticket);
  }

  void onEnd(call_ticket Ticket, result<void> End) {
    auto Stray = Strays.find(Ticket);
    if (End && Stray != Strays.end()) {
      answer_relay Answer = std::move(Stray->second);
      Strays.erase(Stray);
      onStray(Ticket, std::move(Answer));
      return;
    }
    Strays.erase(Ticket);
    if (Calls.count(Ticket))
      conclude(Ticket, std::move(End));
  }

  /// Gives an answer to the call that it names; the call whose connection it
  /// came on waits for its own.
  void onStray(call_ticket Ticket, answer_relay Answer) {
    if (auto Own = Calls.find(Ticket); Own != Calls.end()) {
      Own->second->StrayTimer = std::make_unique<net::timer>(
          Context.Loop, [this, Ticket] { onStrayTimeout(Ticket); });
      Own->second->StrayTimer->startOnce(StrayTime);
    }
    const std::string *Id = Answer.answer().Headers.find(CallIdHeader);
    auto Named = Id ? Tickets.find(call_id(*Id)) : Tickets.end();
    if (Named == Tickets.end() || !Answer.complete())
      return;
    call_ticket Owner = Named->second;
    serving_call &Call = *Calls.at(Owner);
    if (!Call.Sent || Call.Relay.hasHead())
      return;
    describe(Answer.answer(), Call.Details.Id, OutcomeAnswered);
    Call.Relay = std::move(Answer);
    conclude(Owner, {});
  }

  void onStrayTimeout(call_ticket Ticket) {
    serving_call &Call = *Calls.at(Ticket);
    // The timer is running this function.
    Context.Loop.defer(
        [Kept = std::shared_ptr<net::timer>(std::move(Call.StrayTimer))] {});
    conclude(Ticket, makeError(net::net_errc::ConnectionLost,
                               "the server answered another call"));
  }

  /// Ends a call with the answer of its relay or with an error.
  void conclude(call_ticket Ticket, result<void> End) {
    std::unique_ptr<serving_call> Call = take(Ticket);
    const call_details &Details = Call->Details;
    bool NoByteSent = !End && End.failure().Code ==
                                  make_error_code(net::net_errc::ConnectFailed);
    bool Failed = !End || Call->Relay.answer().Status >= 500;
    incarnation_number Seen =
        Call->Relay.hasHead() ? readIncarnation(Call->Relay.answer()) : 0;
    incarnation_number Before = Admission.incarnation();
    auto Latency = Admission.finish({Ticket, Failed, Seen}, now());
    if (Admission.incarnation() != Before) {
      LifeStart = now();
      logEvent(event::ServerRestarted, Local.describe());
    }
    if (NoByteSent) {
      refuseAll(*Call, End.failure().message());
    } else {
      std::optional<std::chrono::microseconds> Warm;
      // A version that becomes slow late looks like a cold start; the age of
      // the server's life tells them apart.
      if (Admission.warm(now()) || now() - LifeStart >= LongestColdLife)
        Warm = Latency;
      addEvidence(Details.Route, Failed, Warm);
      if (End)
        deliver(*Call);
      else
        deliverUnknown(*Call, End.failure().message());
    }
    advance();
    reportIfIdle();
  }

  void deliver(serving_call &Call) {
    Context.Metrics.count(
        "gentianlug_serving_calls_total{outcome=\"answered\"}");
    net::http_response &Answer = Call.Relay.answer();
    Answer.Headers.set(LoadHeader, load());
    if (!Call.Details.Idempotent)
      Ledger.finish(Call.Details.Id,
                    Call.Relay.streaming() ? std::nullopt
                                           : std::optional(toRecord(Answer)),
                    now());
    if (!Call.Relay.streaming())
      return replyAll(Call, Answer);
    Call.Exchanges.front().finish();
    Call.Exchanges.erase(Call.Exchanges.begin());
    replyAll(Call, unknownAnswer(Call.Details.Id,
                                 "the answer is too large to be repeated"));
  }

  void deliverUnknown(serving_call &Call, const std::string &Reason) {
    logEvent(event::CallFailed, Call.Details.Id.str() + ": " + Reason);
    Context.Metrics.count(
        "gentianlug_serving_calls_total{outcome=\"unknown\"}");
    net::http_response Answer = unknownAnswer(Call.Details.Id, Reason);
    if (!Call.Details.Idempotent)
      Ledger.finish(Call.Details.Id, toRecord(Answer), now());
    if (Call.Relay.streaming()) {
      Call.Exchanges.front().abort();
      Call.Exchanges.erase(Call.Exchanges.begin());
    }
    replyAll(Call, Answer);
  }

  /// The client of one exchange has gone.
  void onGone(call_ticket Ticket) {
    auto Entry = Calls.find(Ticket);
    if (Entry == Calls.end() || --Entry->second->Present > 0)
      return;
    bool MayRun = Link.transmitted(Ticket) || Entry->second->StrayTimer;
    if (!Entry->second->Details.Idempotent && MayRun) {
      // It goes on, so that its answer can be recorded.
      Link.resume(Ticket);
      return;
    }
    Context.Metrics.count(
        "gentianlug_serving_calls_total{outcome=\"canceled\"}");
    std::unique_ptr<serving_call> Call = take(Ticket);
    Link.cancel(Ticket);
    Admission.withdraw(Ticket);
    if (!Call->Details.Idempotent)
      Ledger.abandon(Call->Details.Id, now());
    advance();
    reportIfIdle();
  }

  std::unique_ptr<serving_call> take(call_ticket Ticket) {
    auto Entry = Calls.find(Ticket);
    std::unique_ptr<serving_call> Call = std::move(Entry->second);
    Calls.erase(Entry);
    auto Listed = Tickets.find(Call->Details.Id);
    if (Listed != Tickets.end() && Listed->second == Ticket)
      Tickets.erase(Listed);
    return Call;
  }

  void refuseCall(call_ticket Ticket, const std::string &Reason) {
    std::unique_ptr<serving_call> Call = take(Ticket);
    refuseAll(*Call, Reason);
    reportIfIdle();
  }

  /// Refuses a call of which no byte has reached the server.
  void refuseAll(const serving_call &Call, const std::string &Reason) {
    if (!Call.Details.Idempotent)
      Ledger.abandon(Call.Details.Id, now());
    for (const net::http_exchange &Exchange : Call.Exchanges)
      refuse(Exchange, Call.Details.Id, Reason);
  }

  void refuseQueued(const std::string &Reason) {
    std::vector<call_ticket> Queued;
    for (const auto &[Ticket, Call] : Calls)
      if (!Call->Sent)
        Queued.push_back(Ticket);
    for (call_ticket Ticket : Queued) {
      Admission.withdraw(Ticket);
      refuseCall(Ticket, Reason);
    }
  }

  void reportIfIdle() {
    if (Calls.empty())
      Outputs.Idle();
  }

  // Answers.

  std::string load() const {
    return std::to_string(Admission.inFlight()) + "/" +
           std::to_string(Admission.limit()) + "/" +
           std::to_string(Admission.queued());
  }

  void describe(net::http_response &Answer, const call_id &Id,
                const char *Outcome) const {
    Answer.Headers.set(CallIdHeader, Id.str());
    Answer.Headers.set(OutcomeHeader, Outcome);
    Answer.Headers.set(LoadHeader, load());
    if (const wire::server_announcement *Server = Local.server()) {
      Answer.Headers.set(VersionHeader, Server->Version.str());
      if (!Answer.Headers.find(ServerIncarnationHeader))
        Answer.Headers.add(ServerIncarnationHeader,
                           std::to_string(Admission.incarnation()));
    }
  }

  void refuse(const net::http_exchange &Exchange, const call_id &Id,
              const std::string &Reason) {
    logEvent(event::CallRefused, Id.str() + ": " + Reason);
    Context.Metrics.count(
        "gentianlug_serving_calls_total{outcome=\"not-run\"}");
    net::http_response Response = net::errorResponse(503, Reason);
    describe(Response, Id, OutcomeNotRun);
    Exchange.reply(Response);
  }

  net::http_response unknownAnswer(const call_id &Id,
                                   const std::string &Reason) const {
    net::http_response Response = net::errorResponse(504, Reason);
    describe(Response, Id, OutcomeUnknown);
    return Response;
  }

  static void replyAll(const serving_call &Call,
                       const net::http_response &Answer) {
    for (const net::http_exchange &Exchange : Call.Exchanges)
      Exchange.reply(Answer);
  }

  // Evidence.

  void addEvidence(const route_name &Route, bool Failed,
                   std::optional<std::chrono::microseconds> Latency) {
    Evidence.add(Route, Failed, Latency);
    if (!std::exchange(EvidenceDue, true))
      EvidenceTimer.startOnce(EvidencePeriod);
  }

  void sendEvidence() {
    EvidenceDue = false;
    Context.Metrics.gauge("gentianlug_server_limit", Admission.limit());
    Context.Metrics.gauge("gentianlug_server_in_flight", Admission.inFlight());
    Context.Metrics.gauge("gentianlug_server_queued",
                          double(Admission.queued()));
    const wire::server_announcement *Server = Local.lastServer();
    if (Evidence.empty() || !Server)
      return;
    rollout::server_evidence Report;
    Report.Node = Context.Node;
    Report.Service = Server->Service;
    Report.Version = Server->Version;
    Report.ServerIncarnation = Admission.incarnation();
    Report.Allowance = Admission.limit();
    Report.FullAllowance = Admission.slots();
    Evidence.takeInto(Report);
    Outputs.Evidence({std::move(Report)});
  }
};

serving_proxy::serving_proxy(context Context, outputs Outputs)
    : Impl(std::make_unique<impl>(std::move(Context), std::move(Outputs))) {}
serving_proxy::~serving_proxy() = default;

void serving_proxy::onSnapshot(
    std::shared_ptr<const routing_snapshot> Snapshot) {
  Impl->onSnapshot(std::move(Snapshot));
}

void serving_proxy::onAnnouncement(
    const wire::server_announcement &Announcement) {
  Impl->onAnnouncement(Announcement);
}

void serving_proxy::onVersionCut(const version_cut &Cut) {
  Impl->onVersionCut(Cut);
}

void serving_proxy::onRequest(const net::http_exchange &Exchange) {
  Impl->onRequest(Exchange);
}

void serving_proxy::drain() { Impl->Draining = true; }

std::size_t serving_proxy::callsInFlight() const { return Impl->Calls.size(); }

} // namespace gentianlug::node
