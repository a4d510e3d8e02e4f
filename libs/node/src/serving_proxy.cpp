#include "serving_proxy_impl.h"

#include "gentianlug/admission/gradient_limit.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"

#include <charconv>

namespace gentianlug::node {

using admission::call_ledger;
using admission::call_ticket;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// Calls with more hops than this are refused, which ends loops between
/// services.
static constexpr std::uint32_t MaxDepth = 16;

static constexpr milliseconds EvidencePeriod{250};

static constexpr std::string_view CallStatePrefix = CallStatePath;

serving_proxy::impl::impl(context C, outputs O)
    : Context(std::move(C)), Outputs(std::move(O)),
      Admission(std::make_unique<admission::gradient_limit>()),
      Link(Context.Loop, Context.Clock), Local(Context.Node),
      AdvanceTimer(Context.Loop, [this] { advance(); }),
      EvidenceTimer(Context.Loop, [this] { sendEvidence(); }),
      AnnouncementTimer(Context.Loop, [this] { onAnnouncementTimeout(); }) {}

void serving_proxy::impl::onSnapshot(
    std::shared_ptr<const routing_snapshot> Snapshot) {
  bool WasOut = Local.isZoneOutOfService();
  Local.onSnapshot(std::move(Snapshot));
  // After traffic returns to a zone its servers may be cold.
  if (WasOut && !Local.isZoneOutOfService())
    Admission.restartCold(now());
  updateServerState();
}

void serving_proxy::impl::onAnnouncement(
    const wire::server_announcement &Announcement) {
  bool IsNewIncarnation = Announcement.Incarnation > Admission.incarnation();
  if (IsNewIncarnation) {
    sendEvidence();
    IncarnationStart = now();
  }
  Local.onAnnouncement(Announcement);
  AnnouncementTimer.startOnce(ServerAnnouncementTimeout);
  updateServerState();
}

void serving_proxy::impl::onAnnouncementTimeout() {
  logEvent(event::ServerSilent, Local.describe());
  Local.onAnnouncementTimeout();
  updateServerState();
}

void serving_proxy::impl::onVersionQuarantine(
    const version_quarantine &Quarantine) {
  logEvent(event::VersionCutHere,
           Quarantine.Version.str() + (Quarantine.Quarantined
                                           ? " quarantined"
                                           : " released from quarantine"));
  Local.onVersionQuarantine(Quarantine);
  updateServerState();
}

void serving_proxy::impl::updateServerState() {
  if (const wire::server_announcement *Server = Local.server()) {
    config::server_limits Limits = Local.limits();
    Link.configure(Server->Address, Limits.ConnectCost,
                   std::min(Limits.Connections, Server->Connections));
    Admission.updateCapacity({std::min(Limits.Slots, Server->Slots),
                              Limits.QueueLength, Server->Incarnation},
                             now());
  }
  Admission.setCustomers(Local.customers());
  if (auto Reason = Local.refusalReason())
    refuseQueued(*Reason);
  advance();
}

void serving_proxy::impl::onRequest(const net::http_exchange &Exchange) {
  std::string_view Path = net::pathOf(Exchange.request().Target);
  if (Exchange.request().Headers.find(CallIdHeader))
    return onCall(Exchange);
  if (Path == PingPath)
    return Exchange.reply(net::jsonResponse(200, "{}"));
  if (Path.substr(0, CallStatePrefix.size()) == CallStatePrefix)
    return onCallStateQuery(
        Exchange, call_id(std::string(Path.substr(CallStatePrefix.size()))));
  onCall(Exchange);
}

void serving_proxy::impl::onCall(const net::http_exchange &Exchange) {
  call_details Details = readCallDetails(Exchange.request());
  auto Known = TicketsByCallId.find(Details.Id);
  if (Known != TicketsByCallId.end() && !Details.Idempotent &&
      !Calls.at(Known->second)->Details.Idempotent)
    return addClient(Known->second, Exchange);
  if (!beginInLedger(Exchange, Details))
    return;
  if (auto Reason = refusalReason(Details)) {
    if (!Details.Idempotent)
      Ledger.abandon(Details.Id, now());
    return refuse(Exchange, Details.Id, *Reason);
  }
  call_ticket Ticket = NextTicket++;
  auto Call = std::make_unique<serving_call>();
  Call->Request = Exchange.request();
  Call->Deadline = now() + Details.RemainingTime;
  Call->Details = std::move(Details);
  const call_details &CallDetails = Call->Details;
  admission::offered_call Offered{Ticket, CallDetails.Customer,
                                  CallDetails.Route, CallDetails.Priority,
                                  Call->Deadline};
  // A second idempotent call with the same id also runs but is not indexed.
  if (!CallDetails.Id.empty())
    TicketsByCallId.try_emplace(CallDetails.Id, Ticket);
  Calls[Ticket] = std::move(Call);
  addClient(Ticket, Exchange);
  Admission.offer(Offered, now());
  advance();
}

bool serving_proxy::impl::beginInLedger(const net::http_exchange &Exchange,
                                        const call_details &Details) {
  if (Details.Id.empty())
    return true;
  if (Ledger.isRefused(Details.Id, Details.Attempt, now())) {
    refuse(Exchange, Details.Id, "this attempt has been given up");
    return false;
  }
  if (Details.Idempotent)
    return true;
  switch (Ledger.begin(Details.Id, Details.Attempt, now())) {
  case call_ledger::state::Started:
    return true;
  case call_ledger::state::Completed:
    Context.Metrics.count("gentianlug_serving_calls_repeated_total");
    Exchange.reply(fromRecord(*Ledger.response(Details.Id)));
    return false;
  case call_ledger::state::Full:
    logEvent(event::LedgerFull, Details.Id.str());
    refuse(Exchange, Details.Id, "no room to remember another call");
    return false;
  case call_ledger::state::Refused:
    refuse(Exchange, Details.Id, "this call has been given up");
    return false;
  case call_ledger::state::Running:
  case call_ledger::state::ResponseNotKept:
    break;
  }
  Exchange.reply(makeUnknownOutcomeResponse(
      Details.Id, "the call ran; its answer was not kept"));
  return false;
}

std::optional<std::string>
serving_proxy::impl::refusalReason(const call_details &Details) const {
  if (Draining)
    return "node is stopping";
  if (Details.Depth > MaxDepth)
    return "too many hops";
  return Local.refusalReason();
}

void serving_proxy::impl::onCallStateQuery(const net::http_exchange &Exchange,
                                           const call_id &Id) {
  net::http_response Reply = net::jsonResponse(200, "{}");
  std::uint32_t Attempt =
      readAttempt(Exchange.request(), admission::AllAttempts);
  call_ledger::state State = TicketsByCallId.count(Id)
                                 ? call_ledger::state::Running
                                 : Ledger.queryOrRefuse(Id, Attempt, now());
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
    // The id cannot be recorded as refused, so the call could still run and
    // must not be reported as unknown.
    Reply = net::errorResponse(503, "no room to remember the id");
    break;
  case call_ledger::state::Completed:
    Reply = fromRecord(*Ledger.response(Id));
    break;
  case call_ledger::state::ResponseNotKept:
    Reply =
        makeUnknownOutcomeResponse(Id, "the call ran; its answer was not kept");
    break;
  }
  if (State == call_ledger::state::Completed ||
      State == call_ledger::state::ResponseNotKept) {
    Reply.Headers.set(CallStateHeader, CallStateAnswered);
    Reply.Headers.set(CallStatusHeader, std::to_string(Reply.Status));
    Reply.Status = 200;
  }
  Exchange.reply(Reply);
}

void serving_proxy::impl::addClient(call_ticket Ticket,
                                    const net::http_exchange &Exchange) {
  serving_call &Call = *Calls.at(Ticket);
  Call.Exchanges.push_back(Exchange);
  ++Call.ConnectedClients;
  Exchange.onDisconnect([this, Ticket] { onClientDisconnected(Ticket); });
}

void serving_proxy::impl::addEvidence(
    const route_name &Route, bool Failed,
    std::optional<std::chrono::microseconds> Latency) {
  Evidence.add(Route, Failed, Latency);
  if (!std::exchange(EvidenceScheduled, true))
    EvidenceTimer.startOnce(EvidencePeriod);
}

void serving_proxy::impl::sendEvidence() {
  EvidenceScheduled = false;
  Context.Metrics.gauge("gentianlug_server_limit", Admission.limit());
  Context.Metrics.gauge("gentianlug_server_in_flight", Admission.inFlight());
  Context.Metrics.gauge("gentianlug_server_queued", double(Admission.queued()));
  const wire::server_announcement *Server = Local.lastServer();
  if (Evidence.empty() || !Server)
    return;
  rollout::server_evidence Report;
  Report.Node = Context.Node;
  Report.Service = Server->Service;
  Report.Version = Server->Version;
  Report.ServerIncarnation = Admission.incarnation();
  Report.ConcurrencyLimit = Admission.limit();
  Report.WarmConcurrencyLimit = Admission.slots();
  Evidence.moveInto(Report);
  Outputs.Evidence({std::move(Report)});
}

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

void serving_proxy::onVersionQuarantine(const version_quarantine &Quarantine) {
  Impl->onVersionQuarantine(Quarantine);
}

void serving_proxy::onRequest(const net::http_exchange &Exchange) {
  Impl->onRequest(Exchange);
}

void serving_proxy::drain() { Impl->Draining = true; }

std::size_t serving_proxy::callsInFlight() const { return Impl->Calls.size(); }

} // namespace gentianlug::node
