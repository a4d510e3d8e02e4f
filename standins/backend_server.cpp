#include "backend_server.h"

#include <charconv>
#include <thread>

namespace gentianlug::standins {

using std::chrono::milliseconds;

static constexpr milliseconds AnnouncePeriod{1000};
static constexpr milliseconds AnnounceTimeout{500};
/// Period in which the load is checked and load reports are recorded.
static constexpr milliseconds LoadPeriod{20};
static constexpr std::size_t MaxReports = 1024;
/// A draining server stops after this time without a new call, so that nodes
/// can learn of the draining first.
static constexpr milliseconds DrainQuietTime{500};
static constexpr milliseconds DrainCheckPeriod{50};

/// An answer that shall be swapped waits this long for another one.
static constexpr milliseconds SwapWait{100};

static constexpr const char *CommandPrefix = "/standin/";

backend_server::backend_server(net::event_loop &Loop, server_settings S)
    : Settings(std::move(S)), Loop(Loop), Gen(Settings.Seed), Client(Loop),
      Listener(Loop, {[this](request_id Id, net::http_request Request) {
                        onRequest(Id, std::move(Request));
                      },
                      [this](request_id Id) { onClientGone(Id); }}),
      Counters(Settings.RanFile), Load(Clock.steadyNow()),
      Started(Clock.steadyNow()), AnnounceTimer(Loop, [this] { announce(); }),
      LoadTimer(Loop, [this] { checkLoad(); }),
      RecoveryTimer(Loop, [this] { recover(); }),
      DrainTimer(Loop,
                 [this] {
                   if (Calls.empty() &&
                       Clock.steadyNow() - LastNewCall >= DrainQuietTime)
                     this->Loop.stop();
                 }),
      HeldTimer(Loop, [this] {
        if (auto Alone = std::exchange(Held, std::nullopt))
          Listener.reply(Alone->first, Alone->second);
      }) {
  Listener.setConnectionCost(Settings.Behaviour.Connections,
                             Settings.Behaviour.ConnectCost);
}

result<void> backend_server::listen() {
  auto Listening = Listener.listen(Settings.Announcement.Address);
  announce();
  AnnounceTimer.startEvery(AnnouncePeriod);
  LoadTimer.startEvery(LoadPeriod);
  return Listening;
}

void backend_server::drain() {
  Draining = true;
  LastNewCall = Clock.steadyNow();
  announce();
  DrainTimer.startEvery(DrainCheckPeriod);
}

void backend_server::announce() {
  if (!Settings.Behaviour.Announcing)
    return;
  Settings.Announcement.Draining = Draining;
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/announce";
  Request.Body = wire::encode(Settings.Announcement);
  Client.send(Settings.Admin, Request, AnnounceTimeout,
              [](const result<net::http_response> &) {});
}

void backend_server::onRequest(request_id Id, net::http_request Request) {
  Counters.onConnections(Listener.connections());
  if (Request.Target.rfind(CommandPrefix, 0) == 0)
    return onCommand(Id, Request);
  const server_behaviour &Behaviour = Settings.Behaviour;
  if (Behaviour.ShedAbove >= 0 &&
      std::int64_t(Load.inFlight()) >=
          std::int64_t(Behaviour.Slots) + Behaviour.ShedAbove) {
    Counters.onShed();
    return Listener.reply(Id, net::errorResponse(503, "server sheds load"));
  }
  call &Call = Calls[Id];
  Call.Request = std::move(Request);
  Call.Arrived = LastNewCall = Clock.steadyNow();
  if (const std::string *Left = Call.Request.Headers.find("gl-deadline-ms")) {
    long Millis = 0;
    std::from_chars(Left->data(), Left->data() + Left->size(), Millis);
    Call.Deadline = Call.Arrived + milliseconds(Millis);
  }
  Load.arrive(Id);
  Counters.onInFlight(Load.inFlight());
  checkLoad();
  runWaiting();
}

void backend_server::onClientGone(request_id Id) {
  if (!Calls.count(Id))
    return;
  Counters.onCanceled();
  forget(Id);
  Listener.abort(Id);
  runWaiting();
}

void backend_server::runWaiting() {
  while (auto Id = Load.startNext(Settings.Behaviour, Clock.steadyNow())) {
    call &Call = Calls.at(*Id);
    if (Call.Deadline && Clock.steadyNow() > *Call.Deadline) {
      forget(*Id);
      Listener.reply(*Id, net::errorResponse(504, "deadline has passed"));
      continue;
    }
    run(*Id, Call);
  }
}

void backend_server::run(request_id Id, call &Call) {
  Call.Fault = drawFault(Call.Request);
  Counters.onRun(std::string(net::pathOf(Call.Request.Target)),
                 Call.Request.Headers.find("order-id"), Clock.wallNow());
  Call.Work = std::make_unique<net::timer>(Loop, [this, Id] { finish(Id); });
  Call.Work->startOnce(workTime(Call.Fault));
}

std::chrono::microseconds backend_server::workTime(fault_kind Fault) {
  const server_behaviour &Behaviour = Settings.Behaviour;
  std::chrono::duration<double, std::micro> Time = Behaviour.Work;
  if (Behaviour.WorkSpread.count() > 0)
    Time += std::chrono::microseconds(drawIndex(
        Gen,
        std::size_t(std::chrono::microseconds(Behaviour.WorkSpread).count())));
  if (Fault == fault_kind::Slow)
    Time *= Behaviour.Fault.SlowFactor;
  // Calls that wait inside the server take memory and time from the others.
  Time *= 1 + double(Load.waiting()) / Behaviour.Slots;
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

fault_kind backend_server::drawFault(const net::http_request &Request) {
  const server_fault &Fault = Settings.Behaviour.Fault;
  bool Affected = Fault.Kind != fault_kind::None &&
                  std::int64_t(Counters.ran()) >= Fault.AfterCalls &&
                  Clock.steadyNow() - Started >= Fault.After &&
                  std::int64_t(Load.inFlight()) > Fault.AboveInFlight &&
                  Request.Target.rfind(Fault.PathPrefix, 0) == 0;
  if (!Affected || !drawChance(Gen, Fault.Rate))
    return fault_kind::None;
  Counters.onBadAnswer(Clock.wallNow());
  return Fault.Kind;
}

net::http_response
backend_server::makeAnswer(const net::http_request &Request) const {
  net::http_response Response;
  Response.Headers.add("gl-server-incarnation",
                       std::to_string(Settings.Announcement.Incarnation));
  Response.Headers.add("gl-version", Settings.Announcement.Version.str());
  if (const std::string *Id = Request.Headers.find("gl-call-id"))
    Response.Headers.add("gl-call-id", *Id);
  Response.Body = "answer to " + Request.Body;
  auto Size = std::size_t(Settings.Behaviour.AnswerBytes);
  if (Size > 0)
    Response.Body.resize(Size, 'x');
  return Response;
}

void backend_server::finish(request_id Id) {
  auto Entry = Calls.find(Id);
  if (Entry == Calls.end())
    return;
  fault_kind Fault = Entry->second.Fault;
  net::http_response Response = makeAnswer(Entry->second.Request);
  forget(Id);
  switch (Fault) {
  case fault_kind::Fail:
    Response.Status = 500;
    Response.Body = "failed";
    Listener.reply(Id, Response);
    break;
  case fault_kind::LoseAnswer:
    Listener.abort(Id);
    break;
  case fault_kind::CutAnswer:
    Listener.replyCut(Id, Response);
    break;
  case fault_kind::SwapAnswers:
    swapAnswer(Id, std::move(Response));
    break;
  case fault_kind::None:
  case fault_kind::Slow:
    Listener.reply(Id, Response);
  }
  runWaiting();
}

/// Sends the answers of two calls on each other's connections.
void backend_server::swapAnswer(request_id Id, net::http_response Response) {
  if (!Held) {
    Held.emplace(Id, std::move(Response));
    HeldTimer.startOnce(SwapWait);
    return;
  }
  auto [Other, OtherResponse] = *std::exchange(Held, std::nullopt);
  Listener.reply(Other, Response);
  Listener.reply(Id, OtherResponse);
}

void backend_server::forget(request_id Id) {
  auto Entry = Calls.find(Id);
  if (Entry == Calls.end())
    return;
  Load.leave(Id);
  // The timer may be running this very function.
  Loop.defer([Kept = std::make_shared<call>(std::move(Entry->second))] {});
  Calls.erase(Entry);
}

void backend_server::checkLoad() {
  steady_time Now = Clock.steadyNow();
  if (Load.fallsOver(Settings.Behaviour, Now))
    fallOver();
  if (Reports.empty() || Now - Reports.back().first >= LoadPeriod) {
    Reports.emplace_back(Now, loadReport());
    if (Reports.size() > MaxReports)
      Reports.pop_front();
  }
  // A warming server gains slots without any event.
  runWaiting();
}

void backend_server::fallOver() {
  Counters.onFellOver();
  Load.clear();
  while (!Calls.empty())
    forget(Calls.begin()->first);
  Listener.close();
  Listener.dropConnections();
  RecoveryTimer.startOnce(Settings.Behaviour.FallOverTime);
}

void backend_server::recover() {
  restartCold();
  // The port was free a moment ago; a failure shows as a server that is away.
  (void)Listener.listen(Settings.Announcement.Address);
}

void backend_server::restartCold() {
  ++Settings.Announcement.Incarnation;
  Load.restart(Clock.steadyNow());
}

nlohmann::json backend_server::loadReport() {
  return {{"in_flight", Load.inFlight()},
          {"bears", Load.capacity(Settings.Behaviour, Clock.steadyNow())},
          {"healthy", true}};
}

void backend_server::onProbe(request_id Id) {
  Counters.onProbe();
  std::this_thread::sleep_for(Settings.Behaviour.ProbeCost);
  nlohmann::json Report = loadReport();
  switch (Settings.Behaviour.Report) {
  case report_kind::AlwaysGood:
    Report["in_flight"] = 0;
    break;
  case report_kind::AlwaysBad:
    Report["healthy"] = false;
    break;
  case report_kind::Lagging:
    for (auto &[Time, Old] : Reports)
      if (Clock.steadyNow() - Time >= Settings.Behaviour.ReportLag)
        Report = Old;
    break;
  case report_kind::True:
    break;
  }
  Listener.reply(Id, net::jsonResponse(200, Report.dump()));
}

void backend_server::changeBehaviour(request_id Id, const std::string &Body) {
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
  Settings.Announcement.Connections = Changed->Connections;
  Listener.setConnectionCost(Changed->Connections, Changed->ConnectCost);
  if (Restart)
    restartCold();
  Listener.reply(Id, net::jsonResponse(200, "{}"));
}

void backend_server::onCommand(request_id Id,
                               const net::http_request &Request) {
  std::string_view Path = net::pathOf(Request.Target);
  if (Path == "/standin/ran")
    return Listener.reply(Id,
                          net::jsonResponse(200, Counters.ranByOrder().dump()));
  if (Path == "/standin/counters") {
    nlohmann::json Json = Counters.toJson();
    Json.update(loadReport());
    Json["incarnation"] = Settings.Announcement.Incarnation;
    return Listener.reply(Id, net::jsonResponse(200, Json.dump()));
  }
  if (Path == "/standin/probe" || Path == "/standin/load")
    return onProbe(Id);
  if (Path == "/standin/behaviour" && Request.Method == "POST")
    return changeBehaviour(Id, Request.Body);
  Listener.reply(Id, net::errorResponse(404, "unknown path"));
}

} // namespace gentianlug::standins
