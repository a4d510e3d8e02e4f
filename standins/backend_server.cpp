#include "backend_server.h"

#include <charconv>
#include <thread>

namespace gentianlug::standins {

using std::chrono::milliseconds;

static constexpr milliseconds AnnouncePeriod{1000};
static constexpr milliseconds AnnounceTimeout{500};
/// Period of overload checks and of recorded load reports.
static constexpr milliseconds LoadCheckPeriod{20};
static constexpr std::size_t MaxLoadReports = 1024;
/// A draining server exits only after this time without a new call, so that all
/// nodes have learned of the draining state.
static constexpr milliseconds DrainIdleTime{500};
static constexpr milliseconds DrainCheckPeriod{50};

/// Maximum time for which a response is held to be swapped with another one.
static constexpr milliseconds SwapTimeout{100};

static constexpr const char *ControlPathPrefix = "/standin/";

backend_server::backend_server(net::event_loop &Loop, server_settings S)
    : Settings(std::move(S)), Loop(Loop), Gen(Settings.Seed), Client(Loop),
      Listener(Loop, {[this](request_id Id, net::http_request Request) {
                        onRequest(Id, std::move(Request));
                      },
                      [this](request_id Id) { onClientDisconnected(Id); }}),
      Counters(Settings.ExecutionLogPath), Load(Clock.steadyNow()),
      StartTime(Clock.steadyNow()), AnnounceTimer(Loop, [this] { announce(); }),
      LoadTimer(Loop, [this] { checkLoad(); }),
      RecoveryTimer(Loop, [this] { recoverFromCrash(); }),
      DrainTimer(Loop,
                 [this] {
                   if (Calls.empty() &&
                       Clock.steadyNow() - LastArrival >= DrainIdleTime)
                     this->Loop.stop();
                 }),
      HeldResponseTimer(Loop, [this] {
        if (auto Unswapped = std::exchange(HeldResponse, std::nullopt))
          Listener.reply(Unswapped->first, Unswapped->second);
      }) {
  Listener.setConnectionLimits(Settings.Behaviour.MaxConnections,
                               Settings.Behaviour.ConnectionSetupTime);
}

result<void> backend_server::listen() {
  auto Listening = Listener.listen(Settings.Announcement.Address);
  announce();
  AnnounceTimer.startEvery(AnnouncePeriod);
  LoadTimer.startEvery(LoadCheckPeriod);
  return Listening;
}

void backend_server::drain() {
  Draining = true;
  LastArrival = Clock.steadyNow();
  announce();
  DrainTimer.startEvery(DrainCheckPeriod);
}

void backend_server::announce() {
  if (!Settings.Behaviour.AnnouncementsEnabled)
    return;
  Settings.Announcement.Draining = Draining;
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/announce";
  Request.Body = wire::encode(Settings.Announcement);
  Client.send(Settings.NodeAdmin, Request, AnnounceTimeout,
              [](const result<net::http_response> &) {});
}

void backend_server::onRequest(request_id Id, net::http_request Request) {
  Counters.recordConnections(Listener.connectionCount());
  if (Request.Target.rfind(ControlPathPrefix, 0) == 0)
    return onControlRequest(Id, Request);
  const server_behaviour &Behaviour = Settings.Behaviour;
  if (Behaviour.MaxQueueLength >= 0 &&
      std::int64_t(Load.inFlight()) >=
          std::int64_t(Behaviour.Slots) + Behaviour.MaxQueueLength) {
    Counters.recordShedCall();
    return Listener.reply(Id, net::errorResponse(503, "server sheds load"));
  }
  call &Call = Calls[Id];
  Call.Request = std::move(Request);
  Call.ArrivalTime = LastArrival = Clock.steadyNow();
  if (const std::string *Remaining =
          Call.Request.Headers.find("gl-deadline-ms")) {
    long Millis = 0;
    std::from_chars(Remaining->data(), Remaining->data() + Remaining->size(),
                    Millis);
    Call.Deadline = Call.ArrivalTime + milliseconds(Millis);
  }
  Load.enqueue(Id);
  Counters.recordInFlight(Load.inFlight());
  checkLoad();
  startQueuedCalls();
}

void backend_server::onClientDisconnected(request_id Id) {
  if (!Calls.count(Id))
    return;
  Counters.recordCancellation();
  removeCall(Id);
  Listener.abort(Id);
  startQueuedCalls();
}

void backend_server::startQueuedCalls() {
  while (auto Id = Load.startNext(Settings.Behaviour, Clock.steadyNow())) {
    call &Call = Calls.at(*Id);
    if (Call.Deadline && Clock.steadyNow() > *Call.Deadline) {
      removeCall(*Id);
      Listener.reply(*Id, net::errorResponse(504, "deadline has passed"));
      continue;
    }
    startCall(*Id, Call);
  }
}

void backend_server::startCall(request_id Id, call &Call) {
  Call.Fault = drawFault(Call.Request);
  Counters.recordExecution(std::string(net::pathOf(Call.Request.Target)),
                           Call.Request.Headers.find("order-id"),
                           Clock.wallNow());
  Call.ServiceTimer =
      std::make_unique<net::timer>(Loop, [this, Id] { finishCall(Id); });
  Call.ServiceTimer->startOnce(drawServiceTime(Call.Fault));
}

std::chrono::microseconds backend_server::drawServiceTime(fault_kind Fault) {
  const server_behaviour &Behaviour = Settings.Behaviour;
  std::chrono::duration<double, std::micro> Time = Behaviour.ServiceTime;
  if (Behaviour.ServiceTimeSpread.count() > 0)
    Time += std::chrono::microseconds(drawIndex(
        Gen,
        std::size_t(
            std::chrono::microseconds(Behaviour.ServiceTimeSpread).count())));
  if (Fault == fault_kind::Slow)
    Time *= Behaviour.Fault.SlowFactor;
  // Queued calls compete with running ones for memory and CPU time.
  Time *= 1 + double(Load.queued()) / Behaviour.Slots;
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

fault_kind backend_server::drawFault(const net::http_request &Request) {
  const server_fault &Fault = Settings.Behaviour.Fault;
  bool Affected = Fault.Kind != fault_kind::None &&
                  std::int64_t(Counters.executions()) >= Fault.MinCalls &&
                  Clock.steadyNow() - StartTime >= Fault.MinUptime &&
                  std::int64_t(Load.inFlight()) > Fault.MaxUnaffectedInFlight &&
                  Request.Target.rfind(Fault.PathPrefix, 0) == 0;
  if (!Affected || !drawBool(Gen, Fault.Probability))
    return fault_kind::None;
  Counters.recordFault(Clock.wallNow());
  return Fault.Kind;
}

net::http_response
backend_server::makeResponse(const net::http_request &Request) const {
  net::http_response Response;
  Response.Headers.add("gl-server-incarnation",
                       std::to_string(Settings.Announcement.Incarnation));
  Response.Headers.add("gl-version", Settings.Announcement.Version.str());
  if (const std::string *Id = Request.Headers.find("gl-call-id"))
    Response.Headers.add("gl-call-id", *Id);
  Response.Body = "answer to " + Request.Body;
  auto Size = std::size_t(Settings.Behaviour.ResponseBytes);
  if (Size > 0)
    Response.Body.resize(Size, 'x');
  return Response;
}

void backend_server::finishCall(request_id Id) {
  auto Entry = Calls.find(Id);
  if (Entry == Calls.end())
    return;
  fault_kind Fault = Entry->second.Fault;
  net::http_response Response = makeResponse(Entry->second.Request);
  removeCall(Id);
  switch (Fault) {
  case fault_kind::Fail:
    Response.Status = 500;
    Response.Body = "failed";
    Listener.reply(Id, Response);
    break;
  case fault_kind::DropResponse:
    Listener.abort(Id);
    break;
  case fault_kind::TruncateResponse:
    Listener.replyTruncated(Id, Response);
    break;
  case fault_kind::SwapResponses:
    swapResponse(Id, std::move(Response));
    break;
  case fault_kind::None:
  case fault_kind::Slow:
    Listener.reply(Id, Response);
  }
  startQueuedCalls();
}

/// Sends the responses of two calls on each other's connections.
void backend_server::swapResponse(request_id Id, net::http_response Response) {
  if (!HeldResponse) {
    HeldResponse.emplace(Id, std::move(Response));
    HeldResponseTimer.startOnce(SwapTimeout);
    return;
  }
  auto [Other, OtherResponse] = *std::exchange(HeldResponse, std::nullopt);
  Listener.reply(Other, Response);
  Listener.reply(Id, OtherResponse);
}

void backend_server::removeCall(request_id Id) {
  auto Entry = Calls.find(Id);
  if (Entry == Calls.end())
    return;
  Load.remove(Id);
  // This function may run inside the callback of the call's timer, which must
  // not be destroyed there.
  Loop.defer([Removed = std::make_shared<call>(std::move(Entry->second))] {});
  Calls.erase(Entry);
}

void backend_server::checkLoad() {
  steady_time Now = Clock.steadyNow();
  if (Load.shouldCrash(Settings.Behaviour, Now))
    crash();
  if (LoadReports.empty() ||
      Now - LoadReports.back().first >= LoadCheckPeriod) {
    LoadReports.emplace_back(Now, loadReport());
    if (LoadReports.size() > MaxLoadReports)
      LoadReports.pop_front();
  }
  // Warm-up adds slots without any event that would start queued calls.
  startQueuedCalls();
}

void backend_server::crash() {
  Counters.recordCrash();
  Load.clear();
  while (!Calls.empty())
    removeCall(Calls.begin()->first);
  Listener.stopListening();
  Listener.dropConnections();
  RecoveryTimer.startOnce(Settings.Behaviour.CrashDowntime);
}

void backend_server::recoverFromCrash() {
  simulateRestart();
  // The port was bound by this process before the crash. If listening fails
  // nevertheless, the server stays unreachable, which the test detects.
  (void)Listener.listen(Settings.Announcement.Address);
}

void backend_server::simulateRestart() {
  ++Settings.Announcement.Incarnation;
  Load.restart(Clock.steadyNow());
}

nlohmann::json backend_server::loadReport() {
  return {{"in_flight", Load.inFlight()},
          {"bears", Load.capacity(Settings.Behaviour, Clock.steadyNow())},
          {"healthy", true}};
}

void backend_server::onProbe(request_id Id) {
  Counters.recordProbe();
  std::this_thread::sleep_for(Settings.Behaviour.ProbeTime);
  nlohmann::json Report = loadReport();
  switch (Settings.Behaviour.LoadReportMode) {
  case load_report_mode::AlwaysIdle:
    Report["in_flight"] = 0;
    break;
  case load_report_mode::AlwaysUnhealthy:
    Report["healthy"] = false;
    break;
  case load_report_mode::Delayed:
    for (auto &[Time, Old] : LoadReports)
      if (Clock.steadyNow() - Time >= Settings.Behaviour.LoadReportDelay)
        Report = Old;
    break;
  case load_report_mode::Accurate:
    break;
  }
  Listener.reply(Id, net::jsonResponse(200, Report.dump()));
}

void backend_server::updateBehaviour(request_id Id, const std::string &Body) {
  nlohmann::json Patch = nlohmann::json::parse(Body, nullptr, false);
  if (!Patch.is_object())
    return Listener.reply(Id, net::errorResponse(400, "not a JSON object"));
  bool Restart = Patch.value("restart", false);
  Patch.erase("restart");
  nlohmann::json Merged = Settings.BehaviourJson;
  Merged.merge_patch(Patch);
  auto Changed = parseServerBehaviour(Merged);
  if (!Changed)
    return Listener.reply(Id,
                          net::errorResponse(400, Changed.failure().message()));
  Settings.BehaviourJson = std::move(Merged);
  Settings.Behaviour = *Changed;
  Settings.Announcement.Slots = Changed->Slots;
  Settings.Announcement.Connections = Changed->MaxConnections;
  Listener.setConnectionLimits(Changed->MaxConnections,
                               Changed->ConnectionSetupTime);
  if (Restart)
    simulateRestart();
  Listener.reply(Id, net::jsonResponse(200, "{}"));
}

void backend_server::onControlRequest(request_id Id,
                                      const net::http_request &Request) {
  std::string_view Path = net::pathOf(Request.Target);
  if (Path == "/standin/ran")
    return Listener.reply(
        Id, net::jsonResponse(200, Counters.executionsByOrder().dump()));
  if (Path == "/standin/counters") {
    nlohmann::json Json = Counters.toJson();
    Json.update(loadReport());
    Json["incarnation"] = Settings.Announcement.Incarnation;
    return Listener.reply(Id, net::jsonResponse(200, Json.dump()));
  }
  if (Path == "/standin/probe" || Path == "/standin/load")
    return onProbe(Id);
  if (Path == "/standin/behaviour" && Request.Method == "POST")
    return updateBehaviour(Id, Request.Body);
  Listener.reply(Id, net::errorResponse(404, "unknown path"));
}

} // namespace gentianlug::standins
