#include "gentianlug/node/proxy_task.h"

#include "entry_proxy.h"
#include "gentianlug/net/timer.h"
#include "serving_proxy.h"

namespace gentianlug::node {

static constexpr std::chrono::milliseconds ReportPeriod{1000};

struct proxy_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  system_clock Clock;
  observe::metric_set Metrics;
  serving_proxy Serving;
  entry_proxy Entry;
  net::http_server Callers;
  net::http_server Peers;
  net::timer ReportTimer;
  net::mailbox<std::shared_ptr<const routing_snapshot>> Snapshots;
  net::mailbox<server_announced> Announcements;
  net::mailbox<version_cut> Cuts;
  net::mailbox<stop_request> Stops;
  bool Stopping = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Serving(context(), {Outputs.Evidence, [this] { stopIfIdle(); }}),
        Entry(context(), {[this] { stopIfIdle(); }}),
        Callers(Loop, {},
                [this](const net::http_exchange &E) { Entry.onRequest(E); }),
        Peers(Loop, {},
              [this](const net::http_exchange &E) { Serving.onRequest(E); }),
        ReportTimer(Loop, [this] { report(); }),
        Snapshots(Loop,
                  [this](const std::shared_ptr<const routing_snapshot> &Next) {
                    Serving.onSnapshot(Next);
                    Entry.onSnapshot(Next);
                  }),
        Announcements(Loop,
                      [this](const server_announced &Message) {
                        Serving.onAnnouncement(Message.Announcement);
                      }),
        Cuts(Loop,
             [this](const version_cut &Cut) { Serving.onVersionCut(Cut); }),
        Stops(Loop, [this](stop_request) { stop(); }) {}

  serving_proxy::context context() {
    return {Loop, Clock, Metrics, Settings.Seed, Settings.Node};
  }

  void report() {
    Metrics.gauge("gentianlug_calls_in_flight",
                  double(Entry.callsInFlight() + Serving.callsInFlight()));
    Outputs.Report({"proxy", Metrics.render(), "{}", {}});
  }

  void stop() {
    Stopping = true;
    Callers.stopListening();
    Entry.drain();
    Serving.drain();
    stopIfIdle();
  }

  void stopIfIdle() {
    if (!Stopping || Entry.callsInFlight() + Serving.callsInFlight() > 0)
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
  if (auto Listening = Impl->Callers.listen(Impl->Settings.CallerListen);
      !Listening)
    return Listening;
  return Impl->Peers.listen(Impl->Settings.PeerListen);
}

net::mailbox<std::shared_ptr<const routing_snapshot>> &proxy_task::snapshots() {
  return Impl->Snapshots;
}

net::mailbox<server_announced> &proxy_task::announcements() {
  return Impl->Announcements;
}

net::mailbox<version_cut> &proxy_task::cuts() { return Impl->Cuts; }

net::mailbox<stop_request> &proxy_task::stops() { return Impl->Stops; }

void proxy_task::onStart() { Impl->ReportTimer.startEvery(ReportPeriod); }

} // namespace gentianlug::node
