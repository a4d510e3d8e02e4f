#include "gentianlug/gateway/entry_task.h"

#include "entry_call.h"
#include "gentianlug/mesh/account_gate.h"

namespace gentianlug::gateway {

using observe::event;

/// Retry-After of calls refused before an attempt, for example because the node
/// has just started and has no configuration.
static constexpr std::chrono::milliseconds StartupRetryAfter{300};
/// Mean Retry-After of requests that are refused because there is no memory for
/// them. Requests that receive nothing have given way by then.
static constexpr std::chrono::milliseconds MemoryRetryAfter{1000};
static constexpr int Unauthorized = 401;

struct entry_task::impl {
  entry_state Entry;
  connection_limits Connections;
  std::unique_ptr<http1::server> Listener;
  std::unique_ptr<mesh::route_table> Routes;
  http1::link_pacer &Pacer;
  mesh::account_gate Accounts;
  bool ConfigurationCurrent = false;
  bool RejectsKeys = false;
  bool RejectsNewCalls = false;

  impl(task_context Context, node_location Location,
       const connection_limits &Connections, serving_task &Local,
       http1::link_pacer &Pacer)
      : Entry(Context, std::move(Location), Local), Connections(Connections),
        Pacer(Pacer) {}

  http1::server_limits listenerLimits() const {
    http1::server_limits Limits;
    Limits.MaxConnections = Connections.Callers;
    return Limits;
  }

  /// Adds the header fields of the node's own responses to a request that was
  /// refused before it became a call.
  void decorateRefusal(http1::response &Response) const {
    constexpr int Unavailable = 503;
    std::optional<std::chrono::milliseconds> RetryAfter;
    if (Response.Status == Unavailable)
      RetryAfter = drawJitter(Entry.Context.Gen, MemoryRetryAfter);
    Entry.Context.Dialect.addLocalResponseHeaders(Response, "", RetryAfter);
  }

  void sendLocalResponse(http1::exchange &Exchange, const std::string &CallId,
                         int Status, const char *Reason) {
    constexpr int Unavailable = 503;
    std::optional<std::chrono::milliseconds> RetryAfter;
    if (Status == Unavailable)
      RetryAfter = StartupRetryAfter;
    Entry.Context.Log.write(
        event::CallRefused,
        {{"call", CallId},
         {"target", Exchange.receivedRequest().Target},
         {"status", std::int64_t(Status)},
         {"reason", Reason},
         {"config_version",
          std::int64_t(Routes ? Routes->configuration().Version : 0)}});
    Entry.Context.Metrics.count("calls_total{outcome=\"" +
                                std::to_string(Status) + "\"}");
    http1::response Response;
    Response.Status = Status;
    if (Status == Unauthorized)
      Response.Headers.add("WWW-Authenticate", "Bearer");
    Entry.Context.Dialect.addLocalResponseHeaders(Response, CallId, RetryAfter);
    Exchange.respond(std::move(Response));
  }

  /// Returns the origin of a call; one with a key comes from a client.
  mesh::call_origin
  originOf(const call_parameters &Parameters,
           const std::optional<enclosing_call> &Enclosing) const {
    if (Parameters.ApiKey)
      return mesh::call_origin::Client;
    if (Enclosing)
      return mesh::call_origin::RunningCall;
    return Entry.Local.mayBelongToEndedCall(Parameters.CallId)
               ? mesh::call_origin::EndedCall
               : mesh::call_origin::Client;
  }

  /// Logs when this node starts or stops to reject all keys.
  void logKeyRejections() {
    bool Rejects = !Accounts.keysConfirmed(Entry.Context.Clock.steadyNow());
    if (Rejects == std::exchange(RejectsKeys, Rejects))
      return;
    Entry.Context.Metrics.gauge("account_keys_rejected", Rejects ? 1 : 0);
    Entry.Context.Log.write(
        Rejects ? event::KeysUnconfirmed : event::KeysConfirmed, {});
  }

  /// Checks the account of a call and removes what the caller says about it.
  /// Returns nothing if the call was rejected.
  std::optional<mesh::access_decision>
  checkAccess(http1::exchange &Exchange, const mesh::route &Route,
              const call_parameters &Parameters,
              const std::optional<enclosing_call> &Enclosing) {
    if (!Accounts.requiresKeys())
      return mesh::access_decision{};
    Entry.Context.Dialect.removeAccountFields(Exchange.receivedRequest());
    logKeyRejections();
    auto Decision = Accounts.checkAccess(Route, Parameters.ApiKey,
                                         originOf(Parameters, Enclosing),
                                         Entry.Context.Clock.steadyNow());
    constexpr int Unavailable = 503;
    switch (Decision.Access) {
    case mesh::access_result::Granted:
      return Decision;
    case mesh::access_result::UnknownKey:
      Entry.Context.Metrics.count("account_rejections_total{reason=\"key\"}");
      sendLocalResponse(Exchange, Parameters.CallId, Unauthorized,
                        Parameters.ApiKey ? "unknown-key" : "no-key");
      return std::nullopt;
    case mesh::access_result::Unconfirmed:
      Entry.Context.Metrics.count(
          "account_rejections_total{reason=\"unconfirmed\"}");
      sendLocalResponse(Exchange, Parameters.CallId, Unavailable,
                        "key-unconfirmed");
      return std::nullopt;
    }
    return std::nullopt;
  }

  /// Removes the fields of this connection. The id of the call stays also if
  /// the `Connection` field lists it, because responses are matched by it.
  void removeConnectionFields(http1::request &Request,
                              const std::string &CallId) const {
    http1::removeHopByHopFields(Request.Headers);
    const std::string &IdField = Entry.Context.Dialect.echoedHeader();
    if (!CallId.empty() && !Request.Headers.find(IdField))
      Request.Headers.add(IdField, CallId);
  }

  void onRequest(std::shared_ptr<http1::exchange> Exchange) {
    constexpr int NotFound = 404;
    constexpr int Unavailable = 503;
    http1::request &Request = Exchange->receivedRequest();
    removePeerHeaders(Request.Headers);
    call_parameters Parameters =
        Entry.Context.Dialect.readCallParameters(Request);
    removeConnectionFields(Request, Parameters.CallId);
    if (RejectsNewCalls)
      return sendLocalResponse(*Exchange, Parameters.CallId, Unavailable,
                               "stopping");
    if (!Routes)
      return sendLocalResponse(*Exchange, Parameters.CallId, Unavailable,
                               "no-configuration");
    const std::string *Host = Request.Headers.find("host");
    const mesh::route *Route = Routes->find(*Host, Request.Target);
    // If the configuration may be outdated, the route may have been added
    // since.
    if (!Route)
      return sendLocalResponse(*Exchange, Parameters.CallId,
                               ConfigurationCurrent ? NotFound : Unavailable,
                               "no-route");
    auto Enclosing = Entry.Local.findEnclosingCall(Parameters.CallId);
    auto Access = checkAccess(*Exchange, *Route, Parameters, Enclosing);
    if (!Access)
      return;
    const service_name *Service =
        mesh::route_table::selectService(*Route, Entry.Context.Gen);
    if (!Service || Listener->pendingRequests() > Connections.Calls)
      return sendLocalResponse(*Exchange, Parameters.CallId, Unavailable,
                               Service ? "too-many-calls" : "no-weight");
    call_plan Plan;
    Plan.CallId = Parameters.CallId;
    Plan.Route = Route->Name;
    Plan.ConfigVersion = Routes->configuration().Version;
    Plan.Service = *Service;
    Plan.Idempotent = Route->Kind == mesh::call_kind::Idempotent;
    Plan.MaxAttempts = Route->MaxAttempts;
    std::uint32_t Priority = Route->Priority;
    if (Access->Account) {
      Plan.Account = Access->Account->Name;
      Priority = Access->Account->Priority.value_or(Priority);
    }
    if (Enclosing) {
      Plan.QueuePriority = mesh::NestedCallPriority;
      Plan.EnclosingId = Enclosing->CallId;
      Plan.InheritedRetry = Enclosing->IsRetry;
    } else {
      Plan.QueuePriority = mesh::NestedCallPriority + 1 + Priority;
    }
    Plan.TargetLatency = Route->TargetLatency;
    Plan.ArrivedAt = Entry.Context.Clock.steadyNow();
    Plan.Deadline =
        Plan.ArrivedAt +
        std::min(Parameters.Timeout.value_or(Route->Timeout), Route->Timeout);
    std::make_shared<entry_call>(Entry, std::move(Exchange), std::move(Plan))
        ->start();
  }
};

entry_task::entry_task(task_context Context, node_location Location,
                       const connection_limits &Connections,
                       serving_task &Local, http1::link_pacer &Pacer)
    : Impl(std::make_shared<impl>(Context, std::move(Location), Connections,
                                  Local, Pacer)) {}

entry_task::~entry_task() = default;

result<void> entry_task::listen(const address &At) {
  Impl->Listener = std::make_unique<http1::server>(
      Impl->Entry.Context.Loop, Impl->listenerLimits(),
      [Self = Impl.get()](std::shared_ptr<http1::exchange> Exchange) {
        Self->onRequest(std::move(Exchange));
      });
  Impl->Listener->setRefusalObserver(
      [Self = Impl.get()](const address &Client, int Status) {
        Self->Entry.Context.Log.write(
            event::BadRequest,
            {{"client", Client.str()}, {"status", std::int64_t(Status)}});
      });
  Impl->Listener->setRefusalDecorator(
      [Self = Impl.get()](http1::response &Response) {
        Self->decorateRefusal(Response);
      });
  Impl->Listener->setMemoryGuard(Impl->Entry.Context.Memory);
  Impl->Listener->setPacer(Impl->Pacer);
  return Impl->Listener->listen(At, {});
}

void entry_task::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  http1::server_limits Limits = Impl->listenerLimits();
  Limits.Message.MaxHeadBytes = Next->Limits.MaxHeaderBytes;
  Limits.Message.MaxBodyBytes = Next->Limits.MaxBodyBytes;
  Limits.HeadTimeout = Next->Limits.HeaderTimeout;
  Limits.IdleTimeout = Next->Limits.IdleTimeout;
  Impl->Listener->setLimits(Limits);
  Impl->Accounts.setConfiguration(*Next);
  if (Next->RequiresApiKeys) {
    observe::metric_set &Metrics = Impl->Entry.Context.Metrics;
    const mesh::account_directory &Directory = Impl->Accounts.accounts();
    Metrics.gauge("accounts", double(Next->Accounts.size()));
    Metrics.gauge("account_keys", double(Directory.keyCount()));
    Metrics.gauge("account_keys_shared", double(Directory.sharedKeyCount()));
  }
  Impl->Routes = std::make_unique<mesh::route_table>(std::move(Next));
}

void entry_task::onServers(const std::vector<mesh::server_record> &Servers) {
  Impl->Entry.Balancer.setServers(Servers);
}

void entry_task::onVersions(const mesh::version_policy &Versions) {
  Impl->Entry.Versions = Versions;
}

void entry_task::onZonesOutOfService(const std::set<zone_name> &Zones) {
  Impl->Entry.ZonesOutOfService = Zones;
}

void entry_task::onLocalService(const service_name &Service) {
  Impl->Entry.LocalService = Service;
}

void entry_task::setConfigurationCurrent(bool Current) {
  Impl->ConfigurationCurrent = Current;
  Impl->Accounts.setCurrent(Current);
}

void entry_task::onConfigurationConfirmed(steady_time AsOf) {
  Impl->Accounts.onConfirmed(AsOf);
}

void entry_task::onBounds(const mesh::mesh_bounds &Bounds) {
  Impl->Accounts.setWithdrawalTime(Bounds.KeyWithdrawalTime);
}

void entry_task::startDraining() { Impl->Listener->startDraining(); }

void entry_task::rejectNewCalls() { Impl->RejectsNewCalls = true; }

void entry_task::closeIdleConnections() { Impl->Listener->closeIdle(); }

void entry_task::answerOpenCalls() {
  for (const auto &[Key, Call] : std::exchange(Impl->Entry.OpenCalls, {}))
    if (auto Open = Call.lock())
      Open->onNodeEnding();
}

std::size_t entry_task::callsInFlight() const {
  return Impl->Listener->pendingRequests();
}

std::size_t entry_task::unsentBytes() const {
  return Impl->Listener ? Impl->Listener->unsentBytes() : 0;
}

} // namespace gentianlug::gateway
