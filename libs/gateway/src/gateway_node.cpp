#include "gentianlug/gateway/gateway_node.h"

#include "decision_writer.h"
#include "gentianlug/core/weak_callback.h"
#include "gentianlug/gateway/feed_task.h"
#include "gentianlug/mesh/server_lifecycle.h"
#include "gentianlug/mesh/shutdown_schedule.h"
#include "gentianlug/mesh/version_checks.h"
#include "gentianlug/net/timer.h"
#include "memory_report.h"

#include <algorithm>

namespace gentianlug::gateway {

using observe::event;

/// Maximum time that the acknowledgement of a leaving server waits for the
/// store. The server repeats its request after 1 s.
static constexpr std::chrono::milliseconds MaxAckDelay{400};
/// Maximum number of acknowledgements that wait for the first list of servers.
/// Further ones are sent after `MaxAckDelay`.
static constexpr std::size_t MaxWaitingAcks = 16;
static constexpr std::chrono::milliseconds StopCheckPeriod{50};
/// Time after a write within which the servers that a relay sends may still
/// lack the record of this node.
static constexpr std::chrono::milliseconds RecordPropagationTime{2000};
static constexpr std::chrono::milliseconds LogFlushPeriod{200};

static double linkBytesPerSecond(const node_location &Location) {
  constexpr double BytesPerMegabit = 125000;
  return Location.LinkMbps * BytesPerMegabit;
}

struct gateway_node::impl : std::enable_shared_from_this<gateway_node::impl> {
  task_context Context;
  gateway_settings Settings;
  mesh_store &Store;
  http1::link_pacer Pacer;
  serving_task Serving;
  connection_limits Connections;
  entry_task Entry;
  rollout_task Rollouts;
  feed_task Feed;
  std::unique_ptr<usage_task> Usage;
  mesh::server_lifecycle Lifecycle;
  mesh::version_policy Versions;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::vector<mesh::server_record> Servers;
  std::set<zone_name> ZonesOutOfService;
  bool ServersKnown = false;
  bool BaseVersionsKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;
  bool Stopping = false;
  bool PeerNoticeOver = false;
  /// Services with ready servers, none of them of the version in use.
  std::set<service_name> UnreachableServices;
  /// Whether the data received from the store is current.
  bool InSync = false;
  std::optional<steady_time> StopStartedAt;
  std::function<void()> StopHandler;
  std::optional<mesh::server_record> PublishedRecord;
  /// When it was passed to the store or, later, when the store had it.
  steady_time PublishedAt{};
  /// Record of this node in the last list of servers.
  std::optional<mesh::server_record> ListedRecord;
  /// Acknowledgements that wait for the first list of servers.
  std::vector<std::function<void()>> WaitingAcks;
  std::optional<local_server> LocalServer;
  net::timer StopTimer;
  net::timer FlushTimer;
  net::timer RecordCheckTimer;
  std::shared_ptr<decision_writer> Decisions;

  impl(task_context Context, gateway_settings InitialSettings,
       mesh_store &Store, mesh_watcher &Node,
       const std::optional<accounting_links> &Accounting)
      : Context(Context), Settings(std::move(InitialSettings)), Store(Store),
        Pacer(Context.Loop, linkBytesPerSecond(Settings.Location)),
        Serving(Context, linkBytesPerSecond(Settings.Location), Pacer),
        Connections(divideDescriptors(Settings.Limits)),
        Entry(Context, Settings.Location, Connections, Serving, Pacer),
        Rollouts(Context, Settings.Location.Node, Settings.NodeListener, Store,
                 Serving),
        Feed(Context, Settings.Location, Store, Node),
        StopTimer(Context.Loop, [this] { advanceStop(); }),
        FlushTimer(Context.Loop, [this] { this->Context.Log.flush(); }),
        RecordCheckTimer(Context.Loop, [this] { checkRecordIsStored(); }),
        Decisions(std::make_shared<decision_writer>(
            Context, Settings.Location.Node, Store,
            decision_sources{Versions, Servers, Lifecycle})) {
    Entry.onLocalService(Settings.LocalService);
    Rollouts.onBounds(Settings.Bounds);
    Feed.onBounds(Settings.Bounds);
    Entry.onBounds(Settings.Bounds);
    Rollouts.setQuarantineHandler([this] { updateAdmission(); });
    Serving.setEvidenceHandler(
        [this](const rollout::server_evidence &Evidence) {
          Rollouts.onEvidence(Evidence);
        });
    Serving.setLeavingHandler([this](const std::string &Instance) {
      if (Lifecycle.onServerLeaving(Instance) !=
          mesh::lifecycle_change::Changed)
        return;
      onServerChanged("leaving, by a response");
      publish([] {});
    });
    Serving.setDeniedHandler([this](const std::string &Instance) {
      Lifecycle.onInstanceDenied(Instance);
    });
    Serving.setOtherUnsentBytesSource([this] { return Entry.unsentBytes(); });
    Serving.setFollowerPollHandler(
        [this](std::shared_ptr<http1::exchange> Exchange) {
          Feed.onFollowerPoll(std::move(Exchange));
        });
    observeMemory(Context);
    if (Settings.Usage && Accounting)
      addUsageTask(*Accounting);
  }

  void addUsageTask(const accounting_links &Accounting) {
    Usage = std::make_unique<usage_task>(Context, Settings.Location.Node,
                                         Settings.NodeListener, *Settings.Usage,
                                         Accounting.Store, Accounting.Service);
    Serving.setUsageHandler(
        [this](http1::exchange &Exchange) { Usage->onUsage(Exchange); });
    Serving.setAccountCallHandler(
        [this](const account_name &Account,
               std::optional<steady_time> NotRunSince) {
          if (NotRunSince)
            Usage->onCallNotRun(Account, *NotRunSince);
          else
            Usage->onCallStarted(Account);
        });
    Feed.setSourceHandler(
        [this](const change_source &Source) { Usage->onChangeSource(Source); });
  }

  bool ready() const {
    return !Stopping && Configuration && ServersKnown && BaseVersionsKnown &&
           RolloutsKnown && ZonesKnown;
  }

  std::optional<mesh::rejection_reason> blockReason() const {
    const auto &Current = Lifecycle.current();
    if (PeerNoticeOver)
      return mesh::rejection_reason::Stopping;
    if (!Current)
      return mesh::rejection_reason::NoServer;
    if (Current->State != mesh::server_state::Ready)
      return mesh::rejection_reason::Draining;
    if (ZonesOutOfService.contains(Settings.Location.Zone))
      return mesh::rejection_reason::ZoneOutOfService;
    if (Rollouts.isQuarantined() ||
        !Versions.mayServe(Current->Service, Current->Version))
      return mesh::rejection_reason::VersionNotServing;
    return std::nullopt;
  }

  /// Returns why \p Announcement cannot come from the server of this VM, or
  /// null.
  const char *
  refusalReason(const mesh::server_announcement &Announcement) const {
    mesh::server_identity Identity{
        Settings.LocalService, Settings.Location.Zone, Settings.ServerAddress};
    if (const char *Mismatch =
            mesh::findIdentityMismatch(Identity, Announcement))
      return Mismatch;
    if (Settings.LocalService.empty() && Configuration &&
        !Configuration->findService(Announcement.Service))
      return "no service of the configuration";
    return nullptr;
  }

  void updateAdmission() { Serving.setBlockReason(blockReason()); }

  void updateLocalServer() {
    const auto &Current = Lifecycle.current();
    if (!Current)
      return;
    local_server Next;
    Next.Admission.Instance = Current->Instance;
    Next.Admission.Incarnation = Current->Incarnation;
    Next.Admission.Slots = Current->Slots;
    Next.Address = Current->Address;
    Next.Service = Current->Service;
    Next.Version = Current->Version;
    if (const mesh::service *Service =
            Configuration ? Configuration->findService(Current->Service)
                          : nullptr) {
      Next.Admission.ColdCallsPerSecond =
          Service->ColdCallsPerSecond * Settings.Bounds.ColdRateFactor;
      Next.HealthPath = Service->HealthPath;
    }
    bool SameInstance = LocalServer && LocalServer->Admission.Instance ==
                                           Next.Admission.Instance;
    LocalServer = Next;
    Serving.onServer(LocalServer);
    if (Settings.LocalService.empty())
      Entry.onLocalService(Next.Service);
    if (!SameInstance)
      Rollouts.onServer(LocalServer);
    updateAdmission();
  }

  mesh::server_record ownRecord() const {
    const mesh::server_announcement &Current = *Lifecycle.current();
    mesh::server_record Record;
    Record.Node = Settings.Location.Node;
    Record.NodeAddress = Settings.NodeListener;
    Record.Instance = Current.Instance;
    Record.Service = Current.Service;
    Record.Version = Current.Version;
    Record.Zone = Settings.Location.Zone;
    Record.Slots = Current.Slots;
    Record.State = Stopping && Current.State == mesh::server_state::Ready
                       ? mesh::server_state::Paused
                       : Current.State;
    Record.Incarnation = Current.Incarnation;
    Record.Sequence = Current.Sequence;
    Record.LinkMbps = Settings.Location.LinkMbps;
    return Record;
  }

  /// Stores the record if it differs from the last published one in anything
  /// but its sequence number. \p Done runs once there is nothing left to store.
  void publish(std::function<void()> Done) {
    // Until the store has been read, this node may not know the record that an
    // earlier process of the server left there.
    if (!Lifecycle.current() || !ServersKnown)
      return Done();
    mesh::server_record Next = ownRecord();
    // A late announcement of an earlier run must not replace the later one.
    if (const auto &Stored = Lifecycle.storedRecord();
        Stored && mesh::supersedes(*Stored, Next))
      return Done();
    if (PublishedRecord) {
      mesh::server_record Before = *PublishedRecord;
      Before.Sequence = Next.Sequence;
      if (Before == Next)
        return Done();
    }
    PublishedRecord = Next;
    PublishedAt = Context.Clock.steadyNow();
    Store.publishServer(
        Next, bindWeakly(shared_from_this(),
                         [Next, Done = std::move(Done)](
                             impl &Self, const mesh::server_record &Stored) {
                           Self.PublishedAt = Self.Context.Clock.steadyNow();
                           if (Stored != Next)
                             Self.onRecordSuperseded(Stored);
                           Done();
                         }));
  }

  /// An earlier process of this node has stored more than this one knows.
  void onRecordSuperseded(const mesh::server_record &Stored) {
    PublishedRecord = Stored;
    if (Lifecycle.onStoredRecord(Stored) == mesh::lifecycle_change::Changed)
      onServerChanged("stored as leaving");
    publish([] {});
  }

  /// Returns whether \p Record is one that a node of this VM has published.
  bool isOwnRecord(const mesh::server_record &Record) const {
    return Record.Node == Settings.Location.Node &&
           Record.Zone == Settings.Location.Zone &&
           (Settings.LocalService.empty() ||
            Record.Service == Settings.LocalService);
  }

  /// Returns whether the last list of servers holds the published record or a
  /// later one.
  bool isRecordListed() const {
    if (!ListedRecord)
      return false;
    mesh::server_record Expected = *PublishedRecord;
    Expected.Sequence = ListedRecord->Sequence;
    return *ListedRecord == Expected ||
           mesh::supersedes(*ListedRecord, *PublishedRecord);
  }

  /// Publishes the record of this node again if another writer has replaced it,
  /// or if the store has lost it or come back from a copy with an earlier one.
  void checkRecordIsStored() {
    if (!PublishedRecord || isRecordListed())
      return;
    auto Age = Context.Clock.steadyNow() - PublishedAt;
    if (Age < RecordPropagationTime || Store.hasPendingPublish())
      return RecordCheckTimer.startOnce(RecordPropagationTime);
    PublishedRecord.reset();
    publish([] {});
  }

  void updateDecisionWriter() {
    Decisions->setCurrent(InSync && BaseVersionsKnown && RolloutsKnown);
  }

  void reportUnreachableServices() {
    if (!BaseVersionsKnown || !RolloutsKnown || !ServersKnown)
      return;
    auto Next = mesh::findUnreachableServices(Servers, Versions);
    for (const service_name &Service : Next)
      if (!UnreachableServices.contains(Service))
        Context.Log.write(event::ServiceUnreachable,
                          {{"service", Service.str()},
                           {"version", Versions.baseVersion(Service)->str()}});
    for (const service_name &Service : UnreachableServices)
      if (!Next.contains(Service))
        Context.Log.write(event::ServiceReachable,
                          {{"service", Service.str()}});
    if (Next != UnreachableServices)
      Context.Metrics.gauge("services_unreachable", double(Next.size()));
    UnreachableServices = std::move(Next);
  }

  void onVersionsChanged() {
    Entry.onVersions(Versions);
    Rollouts.onVersions(Versions);
    updateAdmission();
    updateDecisionWriter();
    reportUnreachableServices();
  }

  void onServerChanged(const char *Reason) {
    const mesh::server_announcement &Current = *Lifecycle.current();
    Context.Log.write(event::ServerAnnounced,
                      {{"instance", Current.Instance},
                       {"service", Current.Service.str()},
                       {"version", Current.Version.str()},
                       {"state", std::int64_t(Current.State)},
                       {"sequence", std::int64_t(Current.Sequence)},
                       {"cold_for_ms", Current.RemainingColdTime},
                       {"why", Reason}});
    updateLocalServer();
    Decisions->check();
  }

  /// Runs \p Ack when the servers are known and the record of a leaving server
  /// is stored, or after `MaxAckDelay`.
  void ackWhenStored(std::function<void()> Ack) {
    struct pending_ack {
      std::function<void()> Ack;
      std::optional<net::timer> Timeout;
    };
    auto Pending = std::make_shared<pending_ack>();
    Pending->Ack = std::move(Ack);
    auto Run = [Loop = &Context.Loop, Pending] {
      if (auto Action = std::exchange(Pending->Ack, nullptr))
        Action();
      Loop->defer([Pending] { Pending->Timeout.reset(); });
    };
    Pending->Timeout.emplace(Context.Loop, Run);
    Pending->Timeout->startOnce(MaxAckDelay);
    if (ServersKnown)
      publish(Run);
    else if (WaitingAcks.size() < MaxWaitingAcks)
      WaitingAcks.push_back(Run);
  }

  /// Publishes the record, then sends the acknowledgements that waited for the
  /// servers to be known.
  void publishForWaitingAcks() {
    auto Acks = std::exchange(WaitingAcks, {});
    publish([Acks = std::move(Acks)] {
      for (const std::function<void()> &Ack : Acks)
        Ack();
    });
  }

  std::chrono::milliseconds maxCallTimeout() const {
    std::chrono::milliseconds Longest{0};
    if (Configuration)
      for (const mesh::route &Route : Configuration->Routes)
        Longest = std::max(Longest, Route.Timeout);
    return Longest;
  }

  /// Answers the calls that are still in flight. Those of this node's callers
  /// come first, so that none of them is sent to another server.
  void answerOpenCalls() {
    std::size_t Open = Entry.callsInFlight() + Serving.callsInFlight();
    if (Open == 0)
      return;
    Context.Log.write(event::OpenCallsAnswered,
                      {{"calls", std::int64_t(Open)}});
    Entry.answerOpenCalls();
    Serving.answerOpenCalls();
  }

  void advanceStop() {
    auto Now = Context.Clock.steadyNow();
    auto Elapsed = Now - *StopStartedAt;
    mesh::shutdown_schedule Schedule = mesh::makeShutdownSchedule(
        Settings.Bounds.ShutdownGracePeriod, maxCallTimeout());
    if (Elapsed >= Schedule.RejectPeerCallsAt && !PeerNoticeOver) {
      PeerNoticeOver = true;
      updateAdmission();
    }
    if (Elapsed >= Schedule.MayEndAt)
      Entry.closeIdleConnections();
    // Callers may still arrive if too few other nodes of the zone are ready.
    if (Elapsed >= Schedule.RejectNewCallsAt)
      Entry.rejectNewCalls();
    if (Elapsed >= Schedule.AnswerOpenCallsAt)
      answerOpenCalls();
    bool NoCallInFlight =
        Entry.callsInFlight() == 0 && Serving.callsInFlight() == 0 &&
        Entry.unsentBytes() == 0 && Serving.unsentBytes() == 0;
    // The store must hold the final record: the next process of this node reads
    // from it that the server has left.
    bool Idle = NoCallInFlight && !Store.hasPendingPublish();
    if ((Elapsed >= Schedule.MayEndAt && Idle) || Elapsed >= Schedule.EndAt) {
      StopTimer.cancel();
      if (auto Action = std::exchange(StopHandler, nullptr))
        Action();
    }
  }
};

gateway_node::gateway_node(task_context Context, gateway_settings Settings,
                           mesh_store &Store,
                           const std::optional<accounting_links> &Accounting)
    : Impl(std::make_shared<impl>(Context, std::move(Settings), Store, *this,
                                  Accounting)) {}

gateway_node::~gateway_node() = default;

result<void> gateway_node::start() {
  if (auto Opened = Impl->Entry.listen(Impl->Settings.CallerListener); !Opened)
    return Opened;
  if (auto Opened = Impl->Serving.listen(Impl->Settings.NodeListener,
                                         Impl->Connections.Nodes);
      !Opened)
    return Opened;
  Impl->FlushTimer.startEvery(LogFlushPeriod);
  if (Impl->Usage)
    Impl->Usage->start();
  Impl->Feed.start();
  return {};
}

void gateway_node::announce(const mesh::server_announcement &Announcement,
                            std::function<void(announcement_status)> Done) {
  if (const char *Reason = Impl->refusalReason(Announcement)) {
    Impl->Context.Log.write(event::AnnouncementRefused,
                            {{"instance", Announcement.Instance},
                             {"service", Announcement.Service.str()},
                             {"reason", Reason}});
    return Done(announcement_status::Refused);
  }
  auto Ack = [Done = std::move(Done)] {
    Done(announcement_status::Acknowledged);
  };
  switch (Impl->Lifecycle.onAnnouncement(Announcement)) {
  case mesh::lifecycle_change::Ignored:
    return Ack();
  case mesh::lifecycle_change::Unchanged:
    break;
  case mesh::lifecycle_change::Changed:
    Impl->onServerChanged("announced");
    break;
  }
  const mesh::server_announcement &Current = *Impl->Lifecycle.current();
  if (Current.State != mesh::server_state::Ready)
    return Impl->ackWhenStored(Ack);
  Impl->Serving.onServerAnnounced(Announcement.RemainingColdTime);
  Impl->publish([] {});
  Ack();
}

void gateway_node::deregister(const std::string &Instance,
                              std::optional<incarnation_number> Incarnation,
                              std::function<void()> Ack) {
  if (Impl->Lifecycle.onServerGone(Instance, Incarnation) ==
      mesh::lifecycle_change::Changed)
    Impl->onServerChanged("left");
  Impl->ackWhenStored(std::move(Ack));
}

bool gateway_node::ready() const { return Impl->ready(); }

void gateway_node::stop(std::function<void()> Done) {
  if (Impl->Stopping)
    return;
  Impl->Stopping = true;
  Impl->StopStartedAt = Impl->Context.Clock.steadyNow();
  Impl->StopHandler = std::move(Done);
  Impl->Entry.startDraining();
  Impl->Serving.startDraining();
  Impl->publish([] {});
  Impl->StopTimer.startEvery(StopCheckPeriod);
}

void gateway_node::reload(const gateway_settings &Settings) {
  Impl->Settings.Bounds = Settings.Bounds;
  Impl->Rollouts.onBounds(Settings.Bounds);
  Impl->Feed.onBounds(Settings.Bounds);
  Impl->Entry.onBounds(Settings.Bounds);
  Impl->Settings.ServerAddress = Settings.ServerAddress;
  Impl->Settings.LocalService = Settings.LocalService;
  if (!Settings.LocalService.empty())
    Impl->Entry.onLocalService(Settings.LocalService);
}

std::string gateway_node::metricsText() const {
  updateMemoryMetrics(Impl->Context);
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
  Impl->updateLocalServer();
}

void gateway_node::onServers(std::vector<mesh::server_record> Servers) {
  bool First = !std::exchange(Impl->ServersKnown, true);
  auto Found = std::find_if(Servers.begin(), Servers.end(),
                            [&](const mesh::server_record &Record) {
                              return Impl->isOwnRecord(Record);
                            });
  Impl->ListedRecord.reset();
  if (Found != Servers.end()) {
    Impl->ListedRecord = *Found;
    if (First && Impl->Usage)
      Impl->Usage->onPredecessorFound();
    if (Impl->Lifecycle.onStoredRecord(*Found) ==
        mesh::lifecycle_change::Changed)
      Impl->onServerChanged("stored as leaving");
  }
  Impl->Servers = mesh::keepLeavings(std::move(Servers), Impl->Servers);
  Impl->checkRecordIsStored();
  Impl->Entry.onServers(Impl->Servers);
  Impl->Rollouts.onServers(Impl->Servers);
  if (Impl->Usage)
    Impl->Usage->onServers(Impl->Servers);
  Impl->Decisions->check();
  Impl->reportUnreachableServices();
  if (const auto &Current = Impl->Lifecycle.current()) {
    auto Count =
        std::count_if(Impl->Servers.begin(), Impl->Servers.end(),
                      [&](const mesh::server_record &Record) {
                        return Record.Service == Current->Service &&
                               Record.State == mesh::server_state::Ready;
                      });
    Impl->Serving.onRetryBounds(Impl->Settings.Bounds, std::size_t(Count));
  }
  Impl->publishForWaitingAcks();
}

void gateway_node::onBaseVersions(
    std::map<service_name, mesh::base_version> Versions) {
  Impl->BaseVersionsKnown = true;
  Impl->Versions.setBaseVersions(std::move(Versions));
  Impl->onVersionsChanged();
}

void gateway_node::onRollouts(std::vector<mesh::rollout_record> Rollouts) {
  Impl->RolloutsKnown = true;
  Impl->Versions.setRollouts(Rollouts, Impl->Context.Clock.steadyNow());
  Impl->onVersionsChanged();
}

void gateway_node::onZonesOutOfService(std::set<zone_name> Zones) {
  Impl->ZonesKnown = true;
  if (Zones != Impl->ZonesOutOfService)
    for (const zone_name &Zone : Zones)
      Impl->Context.Log.write(event::ZoneOut, {{"zone", Zone.str()}});
  Impl->ZonesOutOfService = std::move(Zones);
  Impl->Entry.onZonesOutOfService(Impl->ZonesOutOfService);
  Impl->updateAdmission();
}

void gateway_node::onSyncState(bool InSync) {
  Impl->InSync = InSync;
  Impl->Entry.setConfigurationCurrent(InSync);
  Impl->updateDecisionWriter();
}

void gateway_node::onConfigurationConfirmed(steady_time AsOf) {
  Impl->Entry.onConfigurationConfirmed(AsOf);
}

} // namespace gentianlug::gateway
