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

/// Time after its deadline in which the response to a non-idempotent call is
/// still awaited, so that it can be recorded for a repeated request.
static constexpr milliseconds ResponseRecordingGrace{5000};

/// After the server has sent a response on the wrong connection, the time in
/// which the expected response may still arrive on another one.
static constexpr milliseconds MismatchTimeout{1000};

/// Latencies of a server that has run for at least this time are evidence about
/// its version even if admission control considers it cold.
static constexpr milliseconds MaxColdPeriod{10000};

/// Minimum delay of the timer that advances the call queue.
static constexpr std::chrono::microseconds MinAdvanceDelay{200};

static incarnation_number readIncarnation(const net::http_response &Response) {
  const std::string *Text = Response.Headers.find(ServerIncarnationHeader);
  incarnation_number Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

void serving_proxy::impl::advance() {
  for (const admission_action &Action : Admission.advance(now())) {
    if (Action.Kind == admission_action::kind::Start)
      sendToServer(Action.Ticket);
    else
      refuseCall(Action.Ticket, admission::describe(Action.Reason));
  }
  if (auto Next = Admission.nextEvent())
    AdvanceTimer.startOnce(
        std::max(MinAdvanceDelay,
                 duration_cast<std::chrono::microseconds>(*Next - now())));
}

void serving_proxy::impl::sendToServer(call_ticket Ticket) {
  serving_call &Call = *Calls.at(Ticket);
  Call.Sent = true;
  net::http_request Request = std::move(Call.Request);
  auto RemainingTime = duration_cast<milliseconds>(Call.Deadline - now());
  Request.Headers.set(DeadlineHeader, std::to_string(RemainingTime.count()));
  Request.Headers.erase("Connection");
  milliseconds Grace =
      Call.Details.Idempotent ? milliseconds(0) : ResponseRecordingGrace;
  Link.send(
      Ticket, std::move(Request), Call.Deadline + Grace,
      {[this, Ticket](const net::http_response &Head) { onHead(Ticket, Head); },
       [this, Ticket](std::string_view Part) { onPart(Ticket, Part); },
       [this, Ticket](result<void> End) { onEnd(Ticket, std::move(End)); }});
}

bool serving_proxy::impl::matchesCall(call_ticket Ticket,
                                      const net::http_response &Head) const {
  auto Entry = Calls.find(Ticket);
  const std::string *Id = Head.Headers.find(CallIdHeader);
  return Entry != Calls.end() &&
         (!Id || *Id == Entry->second->Details.Id.str());
}

void serving_proxy::impl::onHead(call_ticket Ticket, net::http_response Head) {
  if (!matchesCall(Ticket, Head)) {
    logEvent(event::AnswerMismatched, Local.describe());
    MismatchedResponses[Ticket].onHead(std::move(Head));
    return;
  }
  serving_call &Call = *Calls.at(Ticket);
  Admission.recordFirstByte(Ticket, now());
  Head.Headers.erase("Connection");
  Head.Headers.erase("Transfer-Encoding");
  setResponseHeaders(Head, Call.Details.Id, OutcomeAnswered);
  Call.Forwarder.onHead(std::move(Head));
}

void serving_proxy::impl::onPart(call_ticket Ticket, std::string_view Part) {
  if (auto Mismatch = MismatchedResponses.find(Ticket);
      Mismatch != MismatchedResponses.end())
    return Mismatch->second.appendBuffered(Part);
  serving_call &Call = *Calls.at(Ticket);
  bool WasStreaming = Call.Forwarder.isStreaming();
  const net::http_exchange &Client = Call.Exchanges.front();
  bool Pause = Call.Forwarder.onPart(Part, Client);
  if (Call.Forwarder.isStreaming() && !WasStreaming)
    Client.onDrained([this, Ticket] { Link.resume(Ticket); });
  if (Pause && Call.ConnectedClients > 0)
    Link.pause(Ticket);
}

void serving_proxy::impl::onEnd(call_ticket Ticket, result<void> End) {
  auto Mismatch = MismatchedResponses.find(Ticket);
  if (End && Mismatch != MismatchedResponses.end()) {
    response_forwarder Response = std::move(Mismatch->second);
    MismatchedResponses.erase(Mismatch);
    onMismatchedResponse(Ticket, std::move(Response));
    return;
  }
  MismatchedResponses.erase(Ticket);
  if (Calls.count(Ticket))
    completeCall(Ticket, std::move(End));
}

void serving_proxy::impl::onMismatchedResponse(call_ticket Ticket,
                                               response_forwarder Response) {
  if (auto Expected = Calls.find(Ticket); Expected != Calls.end()) {
    Expected->second->MismatchTimer = std::make_unique<net::timer>(
        Context.Loop, [this, Ticket] { onMismatchTimeout(Ticket); });
    Expected->second->MismatchTimer->startOnce(MismatchTimeout);
  }
  const std::string *Id = Response.response().Headers.find(CallIdHeader);
  auto Match = Id ? TicketsByCallId.find(call_id(*Id)) : TicketsByCallId.end();
  if (Match == TicketsByCallId.end() || !Response.isComplete())
    return;
  call_ticket Owner = Match->second;
  serving_call &Call = *Calls.at(Owner);
  if (!Call.Sent || Call.Forwarder.hasHead())
    return;
  setResponseHeaders(Response.response(), Call.Details.Id, OutcomeAnswered);
  Call.Forwarder = std::move(Response);
  completeCall(Owner, {});
}

void serving_proxy::impl::onMismatchTimeout(call_ticket Ticket) {
  serving_call &Call = *Calls.at(Ticket);
  // This function runs in the callback of the timer, so the timer is destroyed
  // later.
  Context.Loop.defer(
      [Kept = std::shared_ptr<net::timer>(std::move(Call.MismatchTimer))] {});
  completeCall(Ticket, makeError(net::net_errc::ConnectionLost,
                                 "the server answered another call"));
}

void serving_proxy::impl::completeCall(call_ticket Ticket, result<void> End) {
  std::unique_ptr<serving_call> Call = removeCall(Ticket);
  const call_details &Details = Call->Details;
  bool NotSent = !End && End.failure().Code ==
                             make_error_code(net::net_errc::ConnectFailed);
  bool Failed = !End || Call->Forwarder.response().Status >= 500;
  incarnation_number ReportedIncarnation =
      Call->Forwarder.hasHead() ? readIncarnation(Call->Forwarder.response())
                                : 0;
  incarnation_number PreviousIncarnation = Admission.incarnation();
  auto Latency = Admission.finish({Ticket, Failed, ReportedIncarnation}, now());
  if (Admission.incarnation() != PreviousIncarnation) {
    IncarnationStart = now();
    logEvent(event::ServerRestarted, Local.describe());
  }
  if (NotSent) {
    refuseAll(*Call, End.failure().message());
  } else {
    std::optional<std::chrono::microseconds> WarmLatency;
    // A version that slows down after its start looks like a cold start. The
    // time since the start of the server tells the two apart.
    if (Admission.isWarm(now()) || now() - IncarnationStart >= MaxColdPeriod)
      WarmLatency = Latency;
    addEvidence(Details.Route, Failed, WarmLatency);
    if (End)
      deliverResponse(*Call);
    else
      deliverUnknownOutcome(*Call, End.failure().message());
  }
  advance();
  reportIfIdle();
}

void serving_proxy::impl::deliverResponse(serving_call &Call) {
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"answered\"}");
  net::http_response &Response = Call.Forwarder.response();
  Response.Headers.set(LoadHeader, loadHeaderValue());
  if (!Call.Details.Idempotent)
    Ledger.finish(Call.Details.Id,
                  Call.Forwarder.isStreaming()
                      ? std::nullopt
                      : std::optional(toRecord(Response)),
                  now());
  if (!Call.Forwarder.isStreaming())
    return replyAll(Call, Response);
  Call.Exchanges.front().finish();
  Call.Exchanges.erase(Call.Exchanges.begin());
  replyAll(Call,
           makeUnknownOutcomeResponse(
               Call.Details.Id, "the answer is too large to be repeated"));
}

void serving_proxy::impl::deliverUnknownOutcome(serving_call &Call,
                                                const std::string &Reason) {
  logEvent(event::CallFailed, Call.Details.Id.str() + ": " + Reason);
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"unknown\"}");
  net::http_response Response =
      makeUnknownOutcomeResponse(Call.Details.Id, Reason);
  if (!Call.Details.Idempotent)
    Ledger.finish(Call.Details.Id, toRecord(Response), now());
  if (Call.Forwarder.isStreaming()) {
    Call.Exchanges.front().abort();
    Call.Exchanges.erase(Call.Exchanges.begin());
  }
  replyAll(Call, Response);
}

void serving_proxy::impl::onClientDisconnected(call_ticket Ticket) {
  auto Entry = Calls.find(Ticket);
  if (Entry == Calls.end() || --Entry->second->ConnectedClients > 0)
    return;
  bool MayRun =
      Link.mayHaveReachedServer(Ticket) || Entry->second->MismatchTimer;
  if (!Entry->second->Details.Idempotent && MayRun) {
    // The call continues so that its response can be recorded.
    Link.resume(Ticket);
    return;
  }
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"canceled\"}");
  std::unique_ptr<serving_call> Call = removeCall(Ticket);
  Link.cancel(Ticket);
  Admission.cancel(Ticket);
  if (!Call->Details.Idempotent)
    Ledger.abandon(Call->Details.Id, now());
  advance();
  reportIfIdle();
}

std::unique_ptr<serving_call>
serving_proxy::impl::removeCall(call_ticket Ticket) {
  auto Entry = Calls.find(Ticket);
  std::unique_ptr<serving_call> Call = std::move(Entry->second);
  Calls.erase(Entry);
  auto Indexed = TicketsByCallId.find(Call->Details.Id);
  if (Indexed != TicketsByCallId.end() && Indexed->second == Ticket)
    TicketsByCallId.erase(Indexed);
  return Call;
}

void serving_proxy::impl::refuseCall(call_ticket Ticket,
                                     const std::string &Reason) {
  std::unique_ptr<serving_call> Call = removeCall(Ticket);
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

std::string serving_proxy::impl::loadHeaderValue() const {
  return std::to_string(Admission.inFlight()) + "/" +
         std::to_string(Admission.limit()) + "/" +
         std::to_string(Admission.queued());
}

void serving_proxy::impl::setResponseHeaders(net::http_response &Response,
                                             const call_id &Id,
                                             const char *Outcome) const {
  Response.Headers.set(CallIdHeader, Id.str());
  Response.Headers.set(OutcomeHeader, Outcome);
  Response.Headers.set(LoadHeader, loadHeaderValue());
  if (const wire::server_announcement *Server = Local.server()) {
    Response.Headers.set(VersionHeader, Server->Version.str());
    if (!Response.Headers.find(ServerIncarnationHeader))
      Response.Headers.add(ServerIncarnationHeader,
                           std::to_string(Admission.incarnation()));
  }
}

void serving_proxy::impl::refuse(const net::http_exchange &Exchange,
                                 const call_id &Id, const std::string &Reason) {
  logEvent(event::CallRefused, Id.str() + ": " + Reason);
  Context.Metrics.count("gentianlug_serving_calls_total{outcome=\"not-run\"}");
  net::http_response Response = net::errorResponse(503, Reason);
  setResponseHeaders(Response, Id, OutcomeNotRun);
  Exchange.reply(Response);
}

net::http_response serving_proxy::impl::makeUnknownOutcomeResponse(
    const call_id &Id, const std::string &Reason) const {
  net::http_response Response = net::errorResponse(504, Reason);
  setResponseHeaders(Response, Id, OutcomeUnknown);
  return Response;
}

void serving_proxy::impl::replyAll(const serving_call &Call,
                                   const net::http_response &Response) {
  for (const net::http_exchange &Exchange : Call.Exchanges)
    Exchange.reply(Response);
}

} // namespace gentianlug::node
