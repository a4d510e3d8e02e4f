#include "gentianlug/node/proxy_task.h"

#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/observe/metrics.h"

namespace gentianlug::node {

using observe::event;
using observe::logEvent;

static constexpr std::chrono::milliseconds ReportPeriod{1000};

struct proxy_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  net::mailbox<std::shared_ptr<const routing_snapshot>> Snapshots;
  net::mailbox<stop_request> Stops;
  net::http_client Client;
  net::http_server Callers;
  net::timer ReportTimer;
  system_clock Clock;
  observe::metric_set Metrics;
  std::shared_ptr<const routing_snapshot> Snapshot;
  std::size_t InFlight = 0;
  bool Stopping = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Snapshots(Loop,
                  [this](std::shared_ptr<const routing_snapshot> Next) {
                    Snapshot = std::move(Next);
                  }),
        Stops(Loop, [this](stop_request) { stop(); }), Client(Loop),
        Callers(Loop, {},
                [this](net::http_exchange Exchange) {
                  onCall(std::move(Exchange));
                }),
        ReportTimer(Loop, [this] { report(); }) {}

  void report() {
    Metrics.gauge("gentianlug_calls_in_flight", double(InFlight));
    Outputs.Report({"proxy", Metrics.render(), "{}", {}});
  }

  void refuse(const net::http_exchange &Exchange, int Status,
              const std::string &Reason) {
    logEvent(event::CallRefused, Exchange.request().Target + ": " + Reason);
    Metrics.count("gentianlug_calls_total{outcome=\"not-run\"}");
    net::http_response Response = net::errorResponse(Status, Reason);
    Response.Headers.add("gl-outcome", "not-run");
    Exchange.reply(Response);
  }

  void onCall(net::http_exchange Exchange) {
    if (Stopping)
      return refuse(Exchange, 503, "node is stopping");
    if (!Snapshot || !Snapshot->Configuration)
      return refuse(Exchange, 503, "no configuration in force");
    const config::route *Route = config::matchRoute(
        Snapshot->Configuration->Configuration, Exchange.request().Target);
    if (!Route)
      return refuse(Exchange, 404, "no route for this path");
    if (!Snapshot->Server || Snapshot->Server->Service != Route->Service)
      return refuse(Exchange, 503, "no server for " + Route->Service.str());
    forward(std::move(Exchange), *Route);
  }

  void forward(net::http_exchange Exchange, const config::route &Route) {
    const address &Server = Snapshot->Server->Address;
    logEvent(event::CallRouted,
             Route.Name.str() + " to " + Server.str() + " (local server)");
    ++InFlight;
    steady_time Start = Clock.steadyNow();
    Client.send(Server, Exchange.request(), Route.Deadline,
                [this, Exchange, Start](result<net::http_response> Answer) {
                  --InFlight;
                  Metrics.observe("gentianlug_call_seconds",
                                  Clock.steadyNow() - Start);
                  finish(Exchange, std::move(Answer));
                  drainIfIdle();
                });
  }

  void finish(const net::http_exchange &Exchange,
              result<net::http_response> Answer) {
    if (!Answer &&
        Answer.failure().Code == make_error_code(net::net_errc::ConnectFailed))
      return refuse(Exchange, 503, Answer.failure().message());
    if (!Answer) {
      logEvent(event::CallFailed, Answer.failure().message());
      Metrics.count("gentianlug_calls_total{outcome=\"unknown\"}");
      net::http_response Response =
          net::errorResponse(504, Answer.failure().message());
      Response.Headers.add("gl-outcome", "unknown");
      return Exchange.reply(Response);
    }
    Metrics.count("gentianlug_calls_total{outcome=\"answered\"}");
    Answer->Headers.erase("Connection");
    Answer->Headers.erase("Transfer-Encoding");
    Answer->Headers.set("gl-outcome", "answered");
    Exchange.reply(*Answer);
  }

  void stop() {
    Stopping = true;
    Callers.stopListening();
    drainIfIdle();
  }

  void drainIfIdle() {
    if (!Stopping || InFlight > 0)
      return;
    Outputs.Drained();
    Loop.stop();
  }
};

proxy_task::proxy_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

proxy_task::~proxy_task() { join(); }

result<void> proxy_task::listen() {
  return Impl->Callers.listen(Impl->Settings.CallerListen);
}

net::mailbox<std::shared_ptr<const routing_snapshot>> &proxy_task::snapshots() {
  return Impl->Snapshots;
}

net::mailbox<stop_request> &proxy_task::stops() { return Impl->Stops; }

void proxy_task::onStart() { Impl->ReportTimer.startEvery(ReportPeriod); }

} // namespace gentianlug::node
