#include "serving_proxy_impl.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"

#include <charconv>

namespace gentianlug::node {

using admission::admission_action;
using admission::call_ticket;
using observe::event;
using observe::logEvent;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A non-idempotent call is waited for beyond its deadline, so that its answer
/// can be recorded for a caller that asks again.
static constexpr milliseconds RecordGrace{5000};

/// Time for the answer to a call to come on the connection of another call,
/// after the answers have been swapped.
static constexpr milliseconds StrayTime{1000};

/// From this age of a server's life on its latencies are evidence about its
/// version, whether or not it counts as cold.
static constexpr milliseconds LongestColdLife{10000};

/// Shortest delay of the timer that drops calls from the queue.
static constexpr std::chrono::microseconds ShortestDelay{200};

static incarnation_number readIncarnation(const net::http_response &Answer) {
  const std::string *Text = Answer.Headers.find(ServerIncarnationHeader);
  incarnation_number Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

void serving_proxy::impl::advance() {
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

void serving_proxy::impl::start(call_ticket Ticket) {
  serving_call &Call = *Calls.at(Ticket);
  Call.Sent = true;
  net::http_request Request = std::move(Call.Request);
  auto Left = duration_cast<milliseconds>(Call.Deadline - now());
  Request.Headers.set(DeadlineHeader, std::to_string(Left.count()));
  Request.Headers.erase("Connection");
  milliseconds Grace = Call.Details.Idempotent ? milliseconds(0) : RecordGrace;
  Link.send(
      Ticket, std::move(Request), Call.Deadline + Grace,
      {[this, Ticket](const net::http_response &Head) { onHead(Ticket, Head); },
       [this, Ticket](std::string_view Part) { onPart(Ticket, Part); },
       [this, Ticket](result<void> End) { onEnd(Ticket, std::move(End)); }});
}

bool serving_proxy::impl::isOwnAnswer(call_ticket Ticket,
                                      const net::http_response &Head) const {
  auto Entry = Calls.find(Ticket);
  const std::string *Id = Head.Headers.find(CallIdHeader);
  return Entry != Calls.end() &&
         (!Id || *Id == Entry->second->Details.Id.str());
}

void serving_proxy::impl::onHead(call_ticket Ticket, net::http_response Head) {
  if (!isOwnAnswer(Ticket, Head)) {
    logEvent(event::AnswerMismatched, Local.describe());
    MismatchedResponses[Ticket].onHead(std::move(Head));
    return;
  }
  serving_call &Call = *Calls.at(Ticket);
  Admission.recordFirstByte(Ticket, now());
  Head.Headers.erase("Connection");
  Head.Headers.erase("Transfer-Encoding");
  describe(Head, Call.Details.Id, OutcomeAnswered);
  Call.Forwarder.onHead(std::move(Head));
}

void serving_proxy::impl::onPart(call_ticket Ticket, std::string_view Part) {
  if (auto Stray = MismatchedResponses.find(Ticket);
      Stray != MismatchedResponses.end())
    return Stray->second.collect(Part);
  serving_call &Call = *Calls.at(Ticket);
  bool WasStreaming = Call.Forwarder.streaming();
  const net::http_exchange &Reader = Call.Exchanges.front();
  bool Pause = Call.Forwarder.onPart(Part, Reader);
  if (Call.Forwarder.streaming() && !WasStreaming)
    Reader.onDrained([this, Ticket] { Link.resume(Ticket); });
  if (Pause && Call.ConnectedClients > 0)
    Link.pause(Ticket);
}

void serving_proxy::impl::onEnd(call_ticket Ticket, result<void> End) {
  auto Stray = MismatchedResponses.find(Ticket);
  if (End && Stray != MismatchedResponses.end()) {
    response_forwarder Answer = std::move(Stray->second);
    MismatchedResponses.erase(Stray);
    onMismatchedResponse(Ticket, std::move(Answer));
    return;
  }
  MismatchedResponses.erase(Ticket);
  if (Calls.count(Ticket))
    conclude(Ticket, std::move(End));
}

void serving_proxy::impl::onMismatchedResponse(call_ticket Ticket,
                                               response_forwarder Answer) {
  if (auto Own = Calls.find(Ticket); Own != Calls.end()) {
    Own->second->MismatchTimer = std::make_unique<net::timer>(
        Context.Loop, [this, Ticket] { onMismatchTimeout(Ticket); });
    Own->second->MismatchTimer->startOnce(StrayTime);
  }
  const std::string *Id = Answer.response().Headers.find(CallIdHeader);
  auto Named = Id ? Tickets.find(call_id(*Id)) : Tickets.end();
  if (Named == Tickets.end() || !Answer.complete())
    return;
  call_ticket Owner = Named->second;
  serving_call &Call = *Calls.at(Owner);
  if (!Call.Sent || Call.Forwarder.hasHead())
    return;
  describe(Answer.response(), Call.Details.Id, OutcomeAnswered);
  Call.Forwarder = std::move(Answer);
  conclude(Owner, {});
}

void serving_proxy::impl::onMismatchTimeout(call_ticket Ticket) {
  serving_call &Call = *Calls.at(Ticket);
  // The timer is running this function.
  Context.Loop.defer(
      [Kept = std::shared_ptr<net::timer>(std::move(Call.MismatchTimer))] {});
  conclude(Ticket, makeError(net::net_errc::ConnectionLost,
                             "the server answered another call"));
}

void serving_proxy::impl::conclude(call_ticket Ticket, result<void> End) {
  std::unique_ptr<serving_call> Call = take(Ticket);
  const call_details &Details = Call->Details;
  bool NoByteSent = !End && End.failure().Code ==
                                make_error_code(net::net_errc::ConnectFailed);
  bool Failed = !End || Call->Forwarder.response().Status >= 500;
  incarnation_number Seen = Call->Forwarder.hasHead()
                                ? readIncarnation(Call->Forwarder.response())
                                : 0;
  incarnation_number Before = Admission.incarnation();
  auto Latency = Admission.finish({Ticket, Failed, Seen}, now());
  if (Admission.incarnation() != Before) {
    IncarnationStart = now();
    logEvent(event::ServerRestarted, Local.describe());
  }
  if (NoByteSent) {
    refuseAll(*Call, End.failure().message());
  } else {
    std::optional<std::chrono::microseconds> Warm;
    // A version that becomes slow late looks like a cold start; the age of
    // the server's life tells them apart.
    if (Admission.isWarm(now()) || now() - IncarnationStart >= LongestColdLife)
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

void serving_proxy::impl::deliver(serving_call &Call) {
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"answered\"}");
  net::http_response &Answer = Call.Forwarder.response();
  Answer.Headers.set(LoadHeader, load());
  if (!Call.Details.Idempotent)
    Ledger.finish(Call.Details.Id,
                  Call.Forwarder.streaming() ? std::nullopt
                                             : std::optional(toRecord(Answer)),
                  now());
  if (!Call.Forwarder.streaming())
    return replyAll(Call, Answer);
  Call.Exchanges.front().finish();
  Call.Exchanges.erase(Call.Exchanges.begin());
  replyAll(Call, unknownAnswer(Call.Details.Id,
                               "the answer is too large to be repeated"));
}

void serving_proxy::impl::deliverUnknown(serving_call &Call,
                                         const std::string &Reason) {
  logEvent(event::CallFailed, Call.Details.Id.str() + ": " + Reason);
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"unknown\"}");
  net::http_response Answer = unknownAnswer(Call.Details.Id, Reason);
  if (!Call.Details.Idempotent)
    Ledger.finish(Call.Details.Id, toRecord(Answer), now());
  if (Call.Forwarder.streaming()) {
    Call.Exchanges.front().abort();
    Call.Exchanges.erase(Call.Exchanges.begin());
  }
  replyAll(Call, Answer);
}

void serving_proxy::impl::onClientDisconnected(call_ticket Ticket) {
  auto Entry = Calls.find(Ticket);
  if (Entry == Calls.end() || --Entry->second->ConnectedClients > 0)
    return;
  bool MayRun = Link.transmitted(Ticket) || Entry->second->MismatchTimer;
  if (!Entry->second->Details.Idempotent && MayRun) {
    // It goes on, so that its answer can be recorded.
    Link.resume(Ticket);
    return;
  }
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"canceled\"}");
  std::unique_ptr<serving_call> Call = take(Ticket);
  Link.cancel(Ticket);
  Admission.cancel(Ticket);
  if (!Call->Details.Idempotent)
    Ledger.abandon(Call->Details.Id, now());
  advance();
  reportIfIdle();
}

std::unique_ptr<serving_call> serving_proxy::impl::take(call_ticket Ticket) {
  auto Entry = Calls.find(Ticket);
  std::unique_ptr<serving_call> Call = std::move(Entry->second);
  Calls.erase(Entry);
  auto Listed = Tickets.find(Call->Details.Id);
  if (Listed != Tickets.end() && Listed->second == Ticket)
    Tickets.erase(Listed);
  return Call;
}

void serving_proxy::impl::refuseCall(call_ticket Ticket,
                                     const std::string &Reason) {
  std::unique_ptr<serving_call> Call = take(Ticket);
  refuseAll(*Call, Reason);
  reportIfIdle();
}

void serving_proxy::impl::refuseAll(const serving_call &Call,
                                    const std::string &Reason) {
  if (!Call.Details.Idempotent)
    Ledger.abandon(Call.Details.Id, now());
  for (const net::http_exchange &Exchange : Call.Exchanges)
    refuse(Exchange, Call.Details.Id, Reason);
}

void serving_proxy::impl::refuseQueued(const std::string &Reason) {
  std::vector<call_ticket> Queued;
  for (const auto &[Ticket, Call] : Calls)
    if (!Call->Sent)
      Queued.push_back(Ticket);
  for (call_ticket Ticket : Queued) {
    Admission.cancel(Ticket);
    refuseCall(Ticket, Reason);
  }
}

void serving_proxy::impl::reportIfIdle() {
  if (Calls.empty())
    Outputs.Idle();
}

std::string serving_proxy::impl::load() const {
  return std::to_string(Admission.inFlight()) + "/" +
         std::to_string(Admission.limit()) + "/" +
         std::to_string(Admission.queued());
}

void serving_proxy::impl::describe(net::http_response &Answer,
                                   const call_id &Id,
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

void serving_proxy::impl::refuse(const net::http_exchange &Exchange,
                                 const call_id &Id, const std::string &Reason) {
  logEvent(event::CallRefused, Id.str() + ": " + Reason);
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"not-run\"}");
  net::http_response Response = net::errorResponse(503, Reason);
  describe(Response, Id, OutcomeNotRun);
  Exchange.reply(Response);
}

net::http_response
serving_proxy::impl::unknownAnswer(const call_id &Id,
                                   const std::string &Reason) const {
  net::http_response Response = net::errorResponse(504, Reason);
  describe(Response, Id, OutcomeUnknown);
  return Response;
}

void serving_proxy::impl::replyAll(const serving_call &Call,
                                   const net::http_response &Answer) {
  for (const net::http_exchange &Exchange : Call.Exchanges)
    Exchange.reply(Answer);
}

} // namespace gentianlug::node
