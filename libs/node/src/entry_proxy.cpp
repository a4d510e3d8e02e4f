#include "entry_proxy.h"

#include "entry_call.h"
#include "entry_state.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/routing/routing_errc.h"

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using routing::routing_errc;

/// Idle connections kept for each peer. A busy entry node has as many calls
/// in flight to one server.
static constexpr std::size_t MaxIdlePerPeer = 64;

static net::http_client_limits clientLimits() {
  net::http_client_limits Limits;
  Limits.MaxIdlePerPeer = MaxIdlePerPeer;
  Limits.PingTarget = PingPath;
  return Limits;
}

struct entry_proxy::impl {
  entry_state State;
  outputs Outputs;
  std::size_t InFlight = 0;
  bool Draining = false;

  impl(serving_proxy::context C, zone_name OwnZone, outputs O)
      : State(C, std::move(OwnZone), clientLimits()), Outputs(std::move(O)) {}

  void onSnapshot(std::shared_ptr<const routing_snapshot> Next) {
    State.Snapshot = std::move(Next);
    State.Table.update(*State.Snapshot->Members);
    std::set<zone_name> OutOfServiceZones;
    for (const auto &[Zone, Reason] : State.Snapshot->ZonesOutOfService)
      OutOfServiceZones.insert(Zone);
    State.Zones.update(OutOfServiceZones, State.now());
    if (!State.Snapshot->Configuration)
      return;
    std::map<service_name, routing::retry_budget> Budgets;
    for (const config::service &Service :
         State.Snapshot->Configuration->Configuration.Services) {
      auto Existing = State.Budgets.find(Service.Name);
      auto Budget = Existing == State.Budgets.end()
                        ? routing::retry_budget(Service.RetryPolicy.BudgetRatio)
                        : Existing->second;
      Budget.setRatio(Service.RetryPolicy.BudgetRatio);
      Budgets.emplace(Service.Name, Budget);
    }
    State.Budgets = std::move(Budgets);
  }

  /// Refuses a call before any byte of it has been sent to a server.
  void refuse(const net::http_exchange &Exchange, int Status,
              const std::string &Reason, bool CloseConnection) {
    logEvent(event::CallRefused, Exchange.request().Target + ": " + Reason);
    State.Context.Metrics.count("gentianlug_calls_total{outcome=\"not-run\"}");
    net::http_response Response = net::errorResponse(Status, Reason);
    Response.Headers.add(OutcomeHeader, OutcomeNotRun);
    if (const std::string *Id = Exchange.request().Headers.find(CallIdHeader))
      Response.Headers.add(CallIdHeader, *Id);
    if (CloseConnection || State.ClosingConnections)
      Response.Headers.add("Connection", "close");
    Exchange.reply(Response);
  }

  static int statusForError(const error &Failure) {
    if (Failure.Code == make_error_code(routing_errc::CallChainTooDeep))
      return 508;
    if (Failure.Code == make_error_code(routing_errc::DeadlinePassed))
      return 504;
    return 400;
  }

  void onRequest(const net::http_exchange &Exchange) {
    const net::http_request &Request = Exchange.request();
    // A request with a depth is part of a call that is already running.
    bool IsNewWork = !Request.Headers.find(DepthHeader);
    if (Draining && IsNewWork)
      return refuse(Exchange, 503, "node is stopping", true);
    if (!State.Snapshot || !State.Snapshot->Configuration)
      return refuse(Exchange, 503, "no configuration in force", false);
    if (IsNewWork && State.Snapshot->ZonesOutOfService.count(State.OwnZone))
      return refuse(Exchange, 503, "zone " + State.OwnZone.str() + " is out",
                    true);
    const config::site_configuration &Configuration =
        State.Snapshot->Configuration->Configuration;
    const config::route *Route =
        config::matchRoute(Configuration, net::pathOf(Request.Target));
    if (!Route)
      return refuse(Exchange, 404, "no route for this path", false);
    if (Request.Body.size() > Route->MaxBodyBytes)
      return refuse(Exchange, 413,
                    "body is larger than " +
                        std::to_string(Route->MaxBodyBytes) + " bytes",
                    false);
    startCall(Exchange, *Route,
              *config::findService(Configuration, Route->Service));
  }

  void startCall(const net::http_exchange &Exchange, const config::route &Route,
                 const config::service &Service) {
    auto Parameters =
        readCallParameters(Exchange.request(), Route, State.IdGen);
    if (!Parameters)
      return refuse(Exchange, statusForError(Parameters.failure()),
                    Parameters.failure().message(), false);
    auto Limits = routing::makeCallLimits(Parameters->Limits, Route.Deadline,
                                          State.now());
    if (!Limits)
      return refuse(Exchange, statusForError(Limits.failure()),
                    Limits.failure().message(), false);
    ++InFlight;
    std::make_shared<entry_call>(State, Exchange,
                                 entry_call::details{std::move(*Parameters),
                                                     *Limits, &Route, &Service,
                                                     State.Snapshot},
                                 [this] {
                                   if (--InFlight == 0)
                                     Outputs.Idle();
                                 })
        ->start();
  }
};

entry_proxy::entry_proxy(serving_proxy::context Context, zone_name OwnZone,
                         outputs Outputs)
    : Impl(std::make_unique<impl>(Context, std::move(OwnZone),
                                  std::move(Outputs))) {}
entry_proxy::~entry_proxy() = default;

void entry_proxy::onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot) {
  Impl->onSnapshot(std::move(Snapshot));
}

void entry_proxy::onRequest(const net::http_exchange &Exchange) {
  Impl->onRequest(Exchange);
}

void entry_proxy::closeConnections() { Impl->State.ClosingConnections = true; }

void entry_proxy::drain() {
  Impl->State.ClosingConnections = true;
  Impl->Draining = true;
}

std::size_t entry_proxy::callsInFlight() const { return Impl->InFlight; }

} // namespace gentianlug::node
