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

/// The stop request arrives after the control task has reported upstream that
/// the node is draining. The node still accepts calls for this time, so that
/// the other nodes can learn of it.
static constexpr milliseconds DrainAnnouncementTime{500};
/// After that the node refuses calls for at least this time, for peers that
/// learn of the drain late: a refusal is safe to retry, a closed connection may
/// not be.
static constexpr milliseconds RefusalPeriod{500};
/// Time between closing the listeners and the exit, in which requests already
/// in transit on open connections are still refused.
static constexpr milliseconds CloseGracePeriod{200};
/// Time that a stop may take beyond the longest deadline of a route.
static constexpr milliseconds StopTimeoutMargin{2000};

namespace {

/// Phase of a graceful stop.
enum class stop_phase {
  /// No stop has been requested.
  Running,
  /// Accepts calls while other nodes and callers learn of the stop.
  Announcing,
  /// Refuses new calls.
  Refusing,
  /// Closes the listeners as soon as no call is in flight.
  WaitingForCalls,
  /// The listeners are closed; the exit follows after `CloseGracePeriod`.
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
  net::http_server CallerListener;
  net::http_server PeerListener;
  net::timer ReportTimer;
  net::timer StopTimer;
  net::mailbox<std::shared_ptr<const routing_snapshot>> Snapshots;
  net::mailbox<server_announced> Announcements;
  net::mailbox<version_quarantine> Quarantines;
  net::mailbox<stop_request> StopRequests;
  std::shared_ptr<const routing_snapshot> Snapshot;
  stop_phase Phase = stop_phase::Running;
  steady_time StopDeadline{};

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Serving(context(), {Outputs.Evidence, [this] { stopIfIdle(); }}),
        Entry(context(), Settings.Zone, {[this] { stopIfIdle(); }}),
        CallerListener(Loop, {},
                       [this](const net::http_exchange &Exchange) {
                         Entry.onRequest(Exchange);
                       }),
        PeerListener(Loop, {},
                     [this](const net::http_exchange &Exchange) {
                       onPeerRequest(Exchange);
                     }),
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
        Quarantines(Loop,
                    [this](const version_quarantine &Quarantine) {
                      Serving.onVersionQuarantine(Quarantine);
                    }),
        StopRequests(Loop, [this](stop_request) { stop(); }) {}

  /// Returns a seed that differs between nodes and between restarts of a node,
  /// even with equal settings. If two nodes drew equal call ids, a caller could
  /// receive the response to the call of another.
  std::uint64_t deriveSeed() const {
    auto StartTime = Clock.wallNow().time_since_epoch().count();
    return Settings.Seed ^ hash64(Settings.Node.str()) ^
           std::uint64_t(StartTime);
  }

  serving_proxy::context context() {
    return {Loop, Clock, Metrics, deriveSeed(), Settings.Node};
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
    if (Phase != stop_phase::Running)
      return;
    Phase = stop_phase::Announcing;
    StopDeadline =
        Clock.steadyNow() + DrainAnnouncementTime + StopTimeoutMargin;
    if (Snapshot && Snapshot->Configuration)
      for (const config::route &Route :
           Snapshot->Configuration->Configuration.Routes)
        StopDeadline =
            std::max(StopDeadline, Clock.steadyNow() + DrainAnnouncementTime +
                                       StopTimeoutMargin + Route.Deadline);
    Entry.closeConnections();
    StopTimer.startOnce(DrainAnnouncementTime);
  }

  void onStopTimer() {
    switch (Phase) {
    case stop_phase::Running:
      return;
    case stop_phase::Announcing:
      Phase = stop_phase::Refusing;
      Entry.drain();
      Serving.drain();
      return StopTimer.startOnce(RefusalPeriod);
    case stop_phase::Refusing:
      Phase = stop_phase::WaitingForCalls;
      StopTimer.startOnce(
          std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                        StopDeadline - Clock.steadyNow())));
      return stopIfIdle();
    case stop_phase::WaitingForCalls:
      return closeListeners();
    case stop_phase::Closing:
      Outputs.Drained();
      return Loop.stop();
    }
  }

  void stopIfIdle() {
    if (Phase == stop_phase::WaitingForCalls &&
        Entry.callsInFlight() + Serving.callsInFlight() == 0)
      closeListeners();
  }

  void closeListeners() {
    Phase = stop_phase::Closing;
    CallerListener.stopListening();
    PeerListener.stopListening();
    // Connections in use have been closed after a response by now; the others
    // have been idle since the stop began.
    CallerListener.closeIdle();
    StopTimer.startOnce(CloseGracePeriod);
  }
};

proxy_task::proxy_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

proxy_task::~proxy_task() { join(); }

result<void> proxy_task::listen() {
  if (auto Listening = Impl->CallerListener.listen(Impl->Settings.CallerListen);
      !Listening)
    return Listening;
  return Impl->PeerListener.listen(Impl->Settings.PeerListen);
}

net::mailbox<std::shared_ptr<const routing_snapshot>> &proxy_task::snapshots() {
  return Impl->Snapshots;
}

net::mailbox<server_announced> &proxy_task::announcements() {
  return Impl->Announcements;
}

net::mailbox<version_quarantine> &proxy_task::quarantines() {
  return Impl->Quarantines;
}

net::mailbox<stop_request> &proxy_task::stopRequests() {
  return Impl->StopRequests;
}

void proxy_task::onStart() { Impl->ReportTimer.startEvery(ReportPeriod); }

} // namespace gentianlug::node
