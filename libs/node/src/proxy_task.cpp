#include "gentianlug/node/proxy_task.h"

#include "entry_proxy.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/node/call_headers.h"
#include "serving_proxy.h"

#include <algorithm>

namespace gentianlug::node {

using std::chrono::milliseconds;

static constexpr milliseconds ReportPeriod{1000};

/// The stop request comes when the control task has reported toward the root
/// that the node drains. The node still takes calls for this time, in which
/// the other nodes learn of it.
static constexpr milliseconds DrainNotice{500};
/// Then it refuses calls and stays at least this long, for peers that learn
/// late: a refusal is safe to retry, a closed connection may not be.
static constexpr milliseconds RefusalTime{500};
/// Time between the end of listening and the exit, in which requests that are
/// on their way on open connections are still refused.
static constexpr milliseconds ClosingTime{200};
/// Bound on the whole stop beyond the longest deadline of a route.
static constexpr milliseconds StopReserve{2000};

namespace {

/// How far a graceful stop has come.
enum class stop_phase {
  None,
  /// Takes calls; other nodes and callers learn that the node goes.
  Announcing,
  /// Refuses new calls.
  Refusing,
  /// Ends as soon as no call is under way.
  Finishing,
  /// Listens no more and waits for the exit.
  Closing,
};

} // namespace

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
  net::timer StopTimer;
  net::mailbox<std::shared_ptr<const routing_snapshot>> Snapshots;
  net::mailbox<server_announced> Announcements;
  net::mailbox<version_quarantine> Cuts;
  net::mailbox<stop_request> Stops;
  std::shared_ptr<const routing_snapshot> Snapshot;
  stop_phase Phase = stop_phase::None;
  steady_time StopDeadline{};

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Serving(context(), {Outputs.Evidence, [this] { stopIfIdle(); }}),
        Entry(context(), Settings.Zone, {[this] { stopIfIdle(); }}),
        Callers(Loop, {},
                [this](const net::http_exchange &E) { Entry.onRequest(E); }),
        Peers(Loop, {},
              [this](const net::http_exchange &E) { onPeerRequest(E); }),
        ReportTimer(Loop, [this] { report(); }),
        StopTimer(Loop, [this] { onStopTimer(); }),
        Snapshots(Loop,
                  [this](const std::shared_ptr<const routing_snapshot> &Next) {
                    Snapshot = Next;
                    Serving.onSnapshot(Next);
                    Entry.onSnapshot(Next);
                  }),
        Announcements(Loop,
                      [this](const server_announced &Message) {
                        Serving.onAnnouncement(Message.Announcement);
                      }),
        Cuts(Loop,
             [this](const version_quarantine &Cut) {
               Serving.onVersionQuarantine(Cut);
             }),
        Stops(Loop, [this](stop_request) { stop(); }) {}

  /// Call ids come from this seed. They must differ between nodes and between
  /// lives of a node, even with equal settings: with equal ids on two nodes a
  /// caller gets the answer to the call of another.
  std::uint64_t drawnSeed() const {
    auto Life = Clock.wallNow().time_since_epoch().count();
    return Settings.Seed ^ hash64(Settings.Node.str()) ^ std::uint64_t(Life);
  }

  serving_proxy::context context() {
    return {Loop, Clock, Metrics, drawnSeed(), Settings.Node};
  }

  void report() {
    Metrics.gauge("gentianlug_calls_in_flight",
                  double(Entry.callsInFlight() + Serving.callsInFlight()));
    Outputs.Report({"proxy", Metrics.render(), "{}", {}});
  }

  void onPeerRequest(const net::http_exchange &Exchange) {
    if (net::pathOf(Exchange.request().Target) == PingPath)
      return Exchange.reply({});
    Serving.onRequest(Exchange);
  }

  void stop() {
    if (Phase != stop_phase::None)
      return;
    Phase = stop_phase::Announcing;
    StopDeadline = Clock.steadyNow() + DrainNotice + StopReserve;
    if (Snapshot && Snapshot->Configuration)
      for (const config::route &Route :
           Snapshot->Configuration->Configuration.Routes)
        StopDeadline = std::max(StopDeadline, Clock.steadyNow() + DrainNotice +
                                                  StopReserve + Route.Deadline);
    Entry.closeConnections();
    StopTimer.startOnce(DrainNotice);
  }

  void onStopTimer() {
    switch (Phase) {
    case stop_phase::None:
      return;
    case stop_phase::Announcing:
      Phase = stop_phase::Refusing;
      Entry.drain();
      Serving.drain();
      return StopTimer.startOnce(RefusalTime);
    case stop_phase::Refusing:
      Phase = stop_phase::Finishing;
      StopTimer.startOnce(
          std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                        StopDeadline - Clock.steadyNow())));
      return stopIfIdle();
    case stop_phase::Finishing:
      return closeListeners();
    case stop_phase::Closing:
      Outputs.Drained();
      return Loop.stop();
    }
  }

  void stopIfIdle() {
    if (Phase == stop_phase::Finishing &&
        Entry.callsInFlight() + Serving.callsInFlight() == 0)
      closeListeners();
  }

  void closeListeners() {
    Phase = stop_phase::Closing;
    Callers.stopListening();
    Peers.stopListening();
    // Connections in use were closed with an answer by now; the others have
    // been idle since the stop began.
    Callers.closeIdle();
    StopTimer.startOnce(ClosingTime);
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

net::mailbox<version_quarantine> &proxy_task::quarantines() {
  return Impl->Cuts;
}

net::mailbox<stop_request> &proxy_task::stopRequests() { return Impl->Stops; }

void proxy_task::onStart() { Impl->ReportTimer.startEvery(ReportPeriod); }

} // namespace gentianlug::node
