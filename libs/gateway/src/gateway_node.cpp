#include "gentianlug/gateway/gateway_node.h"

#include "gentianlug/gateway/feed_task.h"
#include "gentianlug/mesh/server_life.h"
#include "gentianlug/net/timer.h"

#include <algorithm>

namespace gentianlug::gateway {

using observe::event;

/// An acknowledgement of a leaving server does not wait longer for the store:
/// the server asks again after a second.
static constexpr std::chrono::milliseconds LongestAckWait{400};
/// Time that other nodes get to hear that this one stops before it refuses
/// their calls; a refused call only costs them another choice.
static constexpr std::chrono::milliseconds StopNotice{500};
/// Callers of this machine learn within two checks, a second apart, that the
/// node is not ready; until then it serves them.
static constexpr std::chrono::milliseconds CallerNotice{2500};
/// Kept of the time to stop for the end of the process.
static constexpr std::chrono::milliseconds StopReserve{500};
static constexpr std::chrono::milliseconds StopCheckPeriod{50};
static constexpr std::chrono::milliseconds LogFlushPeriod{200};

static double linkBytesPerSecond(const node_place &Place) {
  constexpr double BytesPerMegabit = 125000;
  return Place.LinkMbps * BytesPerMegabit;
}

struct gateway_node::impl {
  task_context Context;
  gateway_settings Settings;
  mesh_store &Store;
  http1::link_pacer Pacer;
  serving_task Serving;
  entry_task Entry;
  rollout_task Rollouts;
  feed_task Feed;
  mesh::server_life Life;
  mesh::version_policy Versions;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::vector<mesh::server_record> Servers;
  std::set<zone_name> ZonesOut;
  bool ServersKnown = false;
  bool BasesKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;
  bool Stopping = false;
  bool StopNoticeOver = false;
  bool BaseProposed = false;
  /// Whether what is known is current.
  bool Current = false;
  std::optional<steady_time> StopSince;
  std::function<void()> Stopped;
  std::optional<mesh::server_record> Published;
  std::optional<local_server> Local;
  net::timer StopTimer;
  net::timer FlushTimer;

  impl(task_context Context, gateway_settings Wanted, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Settings(std::move(Wanted)), Store(Store),
        Pacer(Context.Loop, linkBytesPerSecond(Settings.Place)),
        Serving(Context, linkBytesPerSecond(Settings.Place), Pacer),
        Entry(Context, Settings.Place, Serving, Pacer),
        Rollouts(Context, Settings.Place.Node, Settings.NodeListener, Store,
                 Serving),
        Feed(Context, Settings.Place, Store, Node),
        StopTimer(Context.Loop, [this] { checkStop(); }),
        FlushTimer(Context.Loop, [this] { this->Context.Log.flush(); }) {
    Entry.onLocalService(Settings.LocalService);
    Rollouts.onBounds(Settings.Bounds);
    Feed.onBounds(Settings.Bounds);
    Rollouts.onCutChanged([this] { updateGate(); });
    Serving.onEvidence([this](const rollout::server_evidence &Evidence) {
      Rollouts.onEvidence(Evidence);
    });
    Serving.shareLinkWith([this] { return Entry.unsentBytes(); });
    Serving.onQuestion([this](std::shared_ptr<http1::exchange> Exchange) {
      Feed.onQuestion(std::move(Exchange));
    });
  }

  bool ready() const {
    return !Stopping && Configuration && ServersKnown && BasesKnown &&
           RolloutsKnown && ZonesKnown;
  }

  std::optional<mesh::gate_refusal> closedReason() const {
    const auto &Current = Life.current();
    if (StopNoticeOver)
      return mesh::gate_refusal::Stopping;
    if (!Current)
      return mesh::gate_refusal::NoServer;
    if (Current->State != mesh::server_state::Ready)
      return mesh::gate_refusal::Draining;
    if (ZonesOut.contains(Settings.Place.Zone))
      return mesh::gate_refusal::ZoneOut;
    if (Rollouts.cut() ||
        !Versions.mayServe(Current->Service, Current->Version))
      return mesh::gate_refusal::VersionClosed;
    return std::nullopt;
  }

  void updateGate() { Serving.onClosed(closedReason()); }

  void updateServer() {
    const auto &Current = Life.current();
    if (!Current)
      return;
    local_server Next;
    Next.Gated.Instance = Current->Instance;
    Next.Gated.Slots = Current->Slots;
    Next.Address = Current->Address;
    Next.Service = Current->Service;
    Next.Version = Current->Version;
    if (const mesh::service *Service =
            Configuration ? Configuration->findService(Current->Service)
                          : nullptr) {
      Next.Gated.ColdCallsPerSecond = Service->ColdCallsPerSecond;
      Next.HealthPath = Service->HealthPath;
    }
    bool Same = Local && Local->Gated.Instance == Next.Gated.Instance;
    Local = Next;
    Serving.onServer(Local);
    Entry.onLocalService(Next.Service);
    if (!Same)
      Rollouts.onServer(Local);
    updateGate();
  }

  mesh::server_record ownRecord() const {
    const mesh::server_announcement &Current = *Life.current();
    mesh::server_record Record;
    Record.Node = Settings.Place.Node;
    Record.NodeAddress = Settings.NodeListener;
    Record.Instance = Current.Instance;
    Record.Service = Current.Service;
    Record.Version = Current.Version;
    Record.Zone = Settings.Place.Zone;
    Record.Slots = Current.Slots;
    Record.State = Stopping && Current.State == mesh::server_state::Ready
                       ? mesh::server_state::Paused
                       : Current.State;
    Record.Incarnation = Current.Incarnation;
    Record.Sequence = Current.Sequence;
    Record.LinkMbps = Settings.Place.LinkMbps;
    return Record;
  }

  /// Stores the record if it differs from the one stored last in more than its
  /// number.
  void publish(std::function<void()> Done) {
    // Before the store has shown its records, an earlier life of the server may
    // be unknown.
    if (!Life.current() || !ServersKnown)
      return Done();
    mesh::server_record Next = ownRecord();
    if (Published) {
      mesh::server_record Before = *Published;
      Before.Sequence = Next.Sequence;
      if (Before == Next)
        return Done();
    }
    Published = Next;
    Store.publishServer(Next, std::move(Done));
  }

  void proposeBase() {
    const auto &Server = Life.current();
    if (!Server || !Current || !BasesKnown || !RolloutsKnown || BaseProposed ||
        Versions.base(Server->Service))
      return;
    const mesh::rollout_record *Rollout = Versions.rollout(Server->Service);
    if (Rollout && Rollout->Target == Server->Version)
      return;
    BaseProposed = true;
    Store.publishBaseVersion(Server->Service, Server->Version, false,
                             [this](bool) { BaseProposed = false; });
  }

  void changed(const char *Why) {
    const mesh::server_announcement &Current = *Life.current();
    Context.Log.write(event::ServerAnnounced,
                      {{"instance", Current.Instance},
                       {"service", Current.Service.str()},
                       {"version", Current.Version.str()},
                       {"state", std::int64_t(Current.State)},
                       {"sequence", std::int64_t(Current.Sequence)},
                       {"cold_for_ms", Current.ColdFor},
                       {"why", Why}});
    updateServer();
    proposeBase();
  }

  /// Runs \p Ack when the record of a leaving server is stored, or after the
  /// longest wait.
  void ackWhenStored(std::function<void()> Ack) {
    struct pending_ack {
      std::function<void()> Ack;
      std::optional<net::timer> Limit;
    };
    auto Pending = std::make_shared<pending_ack>();
    Pending->Ack = std::move(Ack);
    auto Run = [Loop = &Context.Loop, Pending] {
      if (auto Action = std::exchange(Pending->Ack, nullptr))
        Action();
      Loop->defer([Pending] { Pending->Limit.reset(); });
    };
    Pending->Limit.emplace(Context.Loop, Run);
    Pending->Limit->startOnce(LongestAckWait);
    publish(Run);
  }

  std::chrono::milliseconds longestCall() const {
    std::chrono::milliseconds Longest{0};
    if (Configuration)
      for (const mesh::route &Route : Configuration->Routes)
        Longest = std::max(Longest, Route.Timeout);
    return Longest;
  }

  void checkStop() {
    auto Now = Context.Clock.steadyNow();
    auto Since = Now - *StopSince;
    if (Since >= StopNotice && !StopNoticeOver) {
      StopNoticeOver = true;
      updateGate();
    }
    if (Since >= CallerNotice)
      Entry.closeIdle();
    // Callers may still come: too few other nodes of the zone are ready.
    if (Since >= Settings.Bounds.StopGrace - StopReserve - longestCall())
      Entry.onLastCall();
    bool Answered = Entry.underWay() == 0 && Serving.underWay() == 0 &&
                    Entry.unsentBytes() == 0 && Serving.unsentBytes() == 0;
    // The next life of the node must know that its server leaves.
    bool Idle = Answered && !Store.publishing();
    if ((Since >= CallerNotice && Idle) ||
        Since >= Settings.Bounds.StopGrace - StopReserve) {
      StopTimer.cancel();
      if (auto Action = std::exchange(Stopped, nullptr))
        Action();
    }
  }
};

gateway_node::gateway_node(task_context Context, gateway_settings Settings,
                           mesh_store &Store)
    : Impl(std::make_shared<impl>(Context, std::move(Settings), Store, *this)) {
}

gateway_node::~gateway_node() = default;

result<void> gateway_node::start() {
  if (auto Opened = Impl->Entry.listen(Impl->Settings.CallerListener); !Opened)
    return Opened;
  if (auto Opened = Impl->Serving.listen(Impl->Settings.NodeListener); !Opened)
    return Opened;
  Impl->FlushTimer.startEvery(LogFlushPeriod);
  Impl->Feed.start();
  return {};
}

void gateway_node::announce(const mesh::server_announcement &Announcement,
                            std::function<void()> Ack) {
  switch (Impl->Life.onAnnouncement(Announcement)) {
  case mesh::life_change::Ignored:
    return Ack();
  case mesh::life_change::Seen:
    break;
  case mesh::life_change::Changed:
    Impl->changed("announced");
    break;
  }
  const mesh::server_announcement &Current = *Impl->Life.current();
  if (Current.State != mesh::server_state::Ready)
    return Impl->ackWhenStored(std::move(Ack));
  Impl->Serving.onServerSeen(Announcement.ColdFor);
  Impl->publish([] {});
  Ack();
}

void gateway_node::leave(const std::string &Instance,
                         std::function<void()> Ack) {
  if (Impl->Life.onLeave(Instance) == mesh::life_change::Changed)
    Impl->changed("left");
  Impl->ackWhenStored(std::move(Ack));
}

bool gateway_node::ready() const { return Impl->ready(); }

void gateway_node::stop(std::function<void()> Done) {
  if (Impl->Stopping)
    return;
  Impl->Stopping = true;
  Impl->StopSince = Impl->Context.Clock.steadyNow();
  Impl->Stopped = std::move(Done);
  Impl->Entry.onStop();
  Impl->Serving.onStop();
  Impl->publish([] {});
  Impl->StopTimer.startEvery(StopCheckPeriod);
}

void gateway_node::reload(const gateway_settings &Settings) {
  Impl->Settings.Bounds = Settings.Bounds;
  Impl->Rollouts.onBounds(Settings.Bounds);
  Impl->Feed.onBounds(Settings.Bounds);
  if (!Impl->Local)
    Impl->Entry.onLocalService(Settings.LocalService);
}

std::string gateway_node::metricsText() const {
  return Impl->Context.Metrics.render();
}

void gateway_node::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  if (Impl->Configuration && Next->Version <= Impl->Configuration->Version)
    return;
  Impl->Context.Log.write(event::ConfigInForce,
                          {{"version", std::int64_t(Next->Version)},
                           {"routes", std::int64_t(Next->Routes.size())}});
  Impl->Configuration = Next;
  Impl->Entry.onConfiguration(Next);
  Impl->Rollouts.onConfiguration(Next);
  Impl->updateServer();
}

void gateway_node::onServers(std::vector<mesh::server_record> Servers) {
  bool First = !std::exchange(Impl->ServersKnown, true);
  const node_id &Own = Impl->Settings.Place.Node;
  auto Found = std::find_if(
      Servers.begin(), Servers.end(),
      [&](const mesh::server_record &Record) { return Record.Node == Own; });
  if (First && Found != Servers.end())
    Impl->Life.onStored(*Found);
  // An entry that the store has lost is written again.
  if (!First && Found == Servers.end())
    Impl->Published.reset();
  Impl->Servers = std::move(Servers);
  Impl->Entry.onServers(Impl->Servers);
  Impl->Rollouts.onServers(Impl->Servers);
  if (const auto &Current = Impl->Life.current()) {
    auto Count =
        std::count_if(Impl->Servers.begin(), Impl->Servers.end(),
                      [&](const mesh::server_record &Record) {
                        return Record.Service == Current->Service &&
                               Record.State == mesh::server_state::Ready;
                      });
    Impl->Serving.onBounds(Impl->Settings.Bounds, std::size_t(Count));
    Impl->publish([] {});
  }
}

void gateway_node::onBaseVersions(
    std::map<service_name, version_name> Versions) {
  Impl->BasesKnown = true;
  for (const auto &[Service, Version] : Versions)
    Impl->Versions.setBase(Service, Version);
  Impl->Entry.onVersions(Impl->Versions);
  Impl->Rollouts.onVersions(Impl->Versions);
  Impl->updateGate();
  Impl->proposeBase();
}

void gateway_node::onRollouts(std::vector<mesh::rollout_record> Rollouts) {
  Impl->RolloutsKnown = true;
  Impl->Versions.setRollouts(Rollouts);
  Impl->Entry.onVersions(Impl->Versions);
  Impl->Rollouts.onVersions(Impl->Versions);
  Impl->updateGate();
  Impl->proposeBase();
}

void gateway_node::onZonesOut(std::set<zone_name> Zones) {
  Impl->ZonesKnown = true;
  if (Zones != Impl->ZonesOut)
    for (const zone_name &Zone : Zones)
      Impl->Context.Log.write(event::ZoneOut, {{"zone", Zone.str()}});
  Impl->ZonesOut = std::move(Zones);
  Impl->Entry.onZonesOut(Impl->ZonesOut);
  Impl->updateGate();
}

void gateway_node::onContact(bool Current) {
  Impl->Current = Current;
  Impl->Entry.onContact(Current);
  Impl->proposeBase();
}

} // namespace gentianlug::gateway
