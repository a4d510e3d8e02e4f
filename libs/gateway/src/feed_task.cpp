#include "gentianlug/gateway/feed_task.h"

#include "gentianlug/core/weak_callback.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/relay_selection.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

using observe::event;

/// Number of checks for expired polls within one long-poll time.
static constexpr int ExpiryChecksPerPoll = 4;
/// Delay before a node that watches the store itself polls a relay again.
static constexpr std::chrono::milliseconds RelayRetryDelay{2000};
/// Delay between two steps of the relay search.
static constexpr std::chrono::milliseconds SearchStepDelay{250};
static constexpr std::chrono::milliseconds RelayConnectTimeout{300};
static constexpr std::chrono::milliseconds RelayIdleTimeout{20000};
/// Maximum number of polls that a relay holds; it rejects further ones.
static constexpr std::size_t MaxPendingPolls = 4 * mesh::NodesPerRelay;
static constexpr int Ok = 200;
static constexpr int NoContent = 204;
static constexpr int BadRequest = 400;
/// The node is not the relay, or no longer; the server list shows which one is.
static constexpr int NotRelay = 410;
/// The node is the relay but cannot tell whether it knows all changes.
static constexpr int Unavailable = 503;

namespace {

/// Source from which a node receives changes.
enum class feed_source { Search, Store, Relay };

struct pending_poll {
  std::shared_ptr<http1::exchange> Exchange;
  feed_cursor Cursor;
  steady_time Deadline;
};

} // namespace

struct feed_task::impl : std::enable_shared_from_this<feed_task::impl> {
  task_context Context;
  node_location Location;
  mesh_store &Store;
  mesh_watcher &Node;
  feed_state History;
  http1::client_pool Pool;
  net::timer PollTimer;
  net::timer PollTimeoutTimer;
  net::timer PollExpiryTimer;
  std::vector<pending_poll> PendingPolls;
  feed_source Source = feed_source::Search;
  mesh::relay_search Search;
  mesh::relay_timing Times;
  bool Relaying = false;
  /// State of the store watch: true once everything has been read, false after
  /// the connection was lost, empty before either.
  std::optional<bool> StoreInSync;
  /// Neither the relay nor this node can reach the store.
  bool StoreUnreachable = false;
  std::optional<http1::client_pool::ticket> ActivePoll;
  feed_cursor Cursor;
  node_id PolledRelay;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::optional<std::vector<mesh::server_record>> Servers;
  control_state ControlState;
  bool Probing = false;
  steady_time NextProbe{};
  bool BaseVersionsKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;

  impl(task_context Context, node_location Location, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Location(std::move(Location)), Store(Store),
        Node(Node), History(drawHexId(Context.Gen)), Pool(Context.Loop, {}, {}),
        PollTimer(Context.Loop, [this] { poll(); }),
        PollTimeoutTimer(Context.Loop, [this] { onPollTimeout(); }),
        PollExpiryTimer(Context.Loop, [this] { expirePendingPolls(); }) {}

  bool isComplete() const {
    return Configuration && Servers && BaseVersionsKnown && RolloutsKnown &&
           ZonesKnown;
  }

  std::vector<mesh::server_record> relayCandidates() const {
    return Servers ? mesh::rankRelays(*Servers, Location.Zone, Location.Node)
                   : std::vector<mesh::server_record>();
  }

  // Relay side.

  void updateHealthCheck() {
    if (Relaying)
      Store.setHealthCheck(store_health_check{Times.HealthCheckInterval,
                                              Times.HealthCheckTimeout});
    else
      Store.setHealthCheck(std::nullopt);
  }

  void updateRole() {
    auto Candidates = relayCandidates();
    bool Next = !Candidates.empty() && Candidates.front().Node == Location.Node;
    if (Next == Relaying)
      return;
    Relaying = Next;
    Context.Log.write(Next ? event::RelayGained : event::RelayLost,
                      {{"zone", Location.Zone.str()}});
    updateHealthCheck();
    if (Relaying) {
      if (Source != feed_source::Store)
        watchStore("is relay itself");
      PollExpiryTimer.startEvery(Times.LongPollTime / ExpiryChecksPerPoll);
    } else {
      PollExpiryTimer.cancel();
      rejectPendingPolls(NotRelay);
      PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
    }
  }

  void onFollowerPoll(std::shared_ptr<http1::exchange> Exchange) {
    auto Since = decodeCursor(Exchange->receivedRequest().Body);
    if (!Since) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange->clientAddress().str()},
                         {"reason", Since.failure().message()}});
      return Exchange->respond(http1::makeStatusResponse(BadRequest));
    }
    if (!Relaying)
      return Exchange->respond(http1::makeStatusResponse(NotRelay));
    if (StoreInSync == false || PendingPolls.size() >= MaxPendingPolls)
      return Exchange->respond(http1::makeStatusResponse(Unavailable));
    // A new relay holds the poll until it has read the whole store.
    if (!StoreInSync || !isComplete() || !respondIfChanged(*Exchange, *Since))
      PendingPolls.push_back({std::move(Exchange), *Since,
                              Context.Clock.steadyNow() + Times.LongPollTime});
  }

  bool respondIfChanged(http1::exchange &Exchange, const feed_cursor &Since) {
    auto Update = History.changesSince(Since);
    if (!Update)
      return false;
    http1::response Response = http1::makeStatusResponse(Ok);
    Response.Body = encodeUpdate(*Update);
    Exchange.respond(std::move(Response));
    return true;
  }

  void answerPendingPolls() {
    if (!isComplete() || StoreInSync != true)
      return;
    std::erase_if(PendingPolls, [&](pending_poll &Each) {
      return respondIfChanged(*Each.Exchange, Each.Cursor);
    });
  }

  void expirePendingPolls() {
    auto Now = Context.Clock.steadyNow();
    std::erase_if(PendingPolls, [&](pending_poll &Each) {
      if (Now < Each.Deadline)
        return false;
      Each.Exchange->respond(http1::makeStatusResponse(
          StoreInSync == true ? NoContent : Unavailable));
      return true;
    });
  }

  void rejectPendingPolls(int Status) {
    for (pending_poll &Each : std::exchange(PendingPolls, {}))
      Each.Exchange->respond(http1::makeStatusResponse(Status));
  }

  // Follower side.

  void poll() {
    if (Relaying || ActivePoll)
      return;
    auto Candidates = relayCandidates();
    if (StoreUnreachable && !Probing && Context.Clock.steadyNow() >= NextProbe)
      probeStore();
    if (Source == feed_source::Search)
      return searchRelay(Candidates);
    if (!Candidates.empty())
      return pollRelay(Candidates.front());
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
  }

  void searchRelay(const std::vector<mesh::server_record> &Candidates) {
    PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
    switch (mesh::nextSearchStep(Search, Times, Candidates, Location.Node,
                                 Context.Clock.steadyNow())) {
    case mesh::search_step::ReadServers:
      return Store.readServers();
    case mesh::search_step::QueryRelay:
      return pollRelay(Candidates.front());
    case mesh::search_step::WatchStore:
      if (StoreUnreachable && !Candidates.empty() &&
          Candidates.front().Node != Location.Node)
        return pollRelay(Candidates.front());
      watchStore("no relay found");
      return updateRole();
    }
  }

  void pollRelay(const mesh::server_record &Relay) {
    PollTimer.cancel();
    PolledRelay = Relay.Node;
    Cursor.ConfigVersion = Configuration ? Configuration->Version : 0;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = FeedPath;
    Request.Headers.add("Host", Relay.NodeAddress.str());
    Request.Body = encodeCursor(Cursor);
    ActivePoll = Pool.send(Relay.NodeAddress, std::move(Request),
                           {RelayConnectTimeout, RelayIdleTimeout, ""},
                           [this](http1::send_result Result) {
                             ActivePoll.reset();
                             PollTimeoutTimer.cancel();
                             onPollResponse(Result);
                           });
    PollTimeoutTimer.startOnce(Times.LongPollTime + Times.ResponseGrace);
  }

  void onPollTimeout() {
    if (!ActivePoll)
      return;
    Pool.cancel(*ActivePoll);
    ActivePoll.reset();
    // The node may have missed changes since it sent the poll.
    detachAndProbeStore("relay is silent");
  }

  void onPollResponse(const http1::send_result &Result) {
    if (Relaying)
      return;
    if (Result.Outcome != http1::send_outcome::Responded)
      return detachFromRelay("relay does not answer");
    if (Result.Response.Status == Unavailable && Source == feed_source::Relay)
      return detachAndProbeStore("relay has lost the store");
    if (Result.Response.Status != Ok && Result.Response.Status != NoContent)
      return detachFromRelay("does not relay");
    if (Result.Response.Status == NoContent) {
      attachToRelay();
      return poll();
    }
    auto Update = decodeUpdate(Result.Response.Body);
    if (!Update) {
      Context.Log.write(event::RelayPeerLost,
                        {{"relay", PolledRelay.str()},
                         {"reason", Update.failure().message()}});
      return watchStore("malformed answer");
    }
    attachToRelay();
    applyUpdate(*Update);
    poll();
  }

  /// Detaches from a relay whose data may be stale. This node then watches the
  /// store itself if it can reach it.
  void detachAndProbeStore(const char *Reason) {
    detachFromRelay(Reason);
    probeStore();
  }

  void probeStore() {
    if (std::exchange(Probing, true))
      return;
    Store.probe(bindWeakly(shared_from_this(), &impl::onStoreProbed));
  }

  void onStoreProbed(bool Reached) {
    Probing = false;
    if (Source != feed_source::Search)
      return;
    if (!Reached) {
      NextProbe = Context.Clock.steadyNow() + Times.StoreProbeInterval / 2 +
                  drawJitter(Context.Gen, Times.StoreProbeInterval / 2);
      if (!std::exchange(StoreUnreachable, true))
        Node.onSyncState(false);
      return;
    }
    // If the store was unreachable for this node too, the relay probably
    // reconnects within a moment, so the search gets half the usual time.
    // If only the relay has lost the store, waiting for it is useless.
    if (!std::exchange(StoreUnreachable, false))
      return watchStore("relay has lost the store");
    Search.StartedAt = Context.Clock.steadyNow() - Times.SearchTimeout / 2;
  }

  void attachToRelay() {
    StoreUnreachable = false;
    if (Source == feed_source::Relay)
      return;
    Source = feed_source::Relay;
    StoreInSync.reset();
    Store.setWatching(false);
    Context.Log.write(event::ParentAttached, {{"relay", PolledRelay.str()}});
    Node.onSyncState(true);
  }

  /// Detaches from the relay and searches again: another node may have become
  /// the relay, or is about to.
  void detachFromRelay(const char *Reason) {
    Cursor = {};
    Search.Rejected = true;
    PollTimer.startOnce(drawJitter(Context.Gen, Source == feed_source::Store
                                                    ? RelayRetryDelay
                                                    : SearchStepDelay));
    if (Source != feed_source::Relay)
      return;
    Source = feed_source::Search;
    Search = {Context.Clock.steadyNow(), false, false, false};
    Context.Log.write(event::ParentLost,
                      {{"relay", PolledRelay.str()}, {"reason", Reason}});
  }

  void watchStore(const char *Reason) {
    Cursor = {};
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
    if (Source == feed_source::Store)
      return;
    if (Source == feed_source::Relay)
      Context.Log.write(event::ParentLost,
                        {{"relay", PolledRelay.str()}, {"reason", Reason}});
    Source = feed_source::Store;
    StoreUnreachable = false;
    StoreInSync.reset();
    Store.setWatching(true);
  }

  void applyUpdate(const feed_update &Update) {
    Cursor = Update.Cursor;
    // The change does not apply if the store has delivered a newer version
    // during the poll; the next poll then names that version.
    if (Update.Config)
      if (auto Next = applyConfigChange(Configuration.get(), *Update.Config))
        setConfiguration(std::move(Next));
    if (Update.FullServerList || !Update.Servers.empty() ||
        !Update.RemovedServers.empty())
      applyServers(Update);
    if (Update.ControlState) {
      BaseVersionsKnown = RolloutsKnown = ZonesKnown = true;
      ControlState = *Update.ControlState;
      History.setControlState(ControlState);
      Node.onBaseVersions(ControlState.BaseVersions);
      Node.onRollouts(ControlState.Rollouts);
      Node.onZonesOutOfService(ControlState.ZonesOutOfService);
    }
  }

  void applyServers(const feed_update &Update) {
    std::map<node_id, mesh::server_record> Next;
    if (!Update.FullServerList && Servers)
      for (const mesh::server_record &Record : *Servers)
        Next[Record.Node] = Record;
    for (const mesh::server_record &Record : Update.Servers)
      Next[Record.Node] = Record;
    for (const node_id &Removed : Update.RemovedServers)
      Next.erase(Removed);
    std::vector<mesh::server_record> All;
    All.reserve(Next.size());
    for (auto &[Name, Record] : Next)
      All.push_back(std::move(Record));
    setServers(std::move(All));
  }

  // Both roles.

  void setConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next) {
    if (Configuration && Configuration->Version >= Next->Version)
      return;
    Configuration = Next;
    History.setConfiguration(Next);
    Node.onConfiguration(std::move(Next));
  }

  void setServers(std::vector<mesh::server_record> Next) {
    bool First = !Servers;
    Servers = std::move(Next);
    History.setServers(*Servers);
    Node.onServers(*Servers);
    // Followers must learn the next relay before this node rejects their polls.
    answerPendingPolls();
    if (Source != feed_source::Search)
      return updateRole();
    auto Now = Context.Clock.steadyNow();
    if (First)
      Search = {Now, true, Servers->empty(), false};
    Search.Rejected = false;
    // Each read ends up here, so reading again now would repeat without delay.
    if (mesh::nextSearchStep(Search, Times, relayCandidates(), Location.Node,
                             Now) != mesh::search_step::ReadServers)
      return poll();
    if (First)
      PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
  }

  void onControlStateChanged() {
    if (BaseVersionsKnown && RolloutsKnown && ZonesKnown)
      History.setControlState(ControlState);
    answerPendingPolls();
  }
};

feed_task::feed_task(task_context Context, node_location Location,
                     mesh_store &Store, mesh_watcher &Node)
    : Impl(std::make_shared<impl>(Context, std::move(Location), Store, Node)) {}

feed_task::~feed_task() = default;

void feed_task::onBounds(const mesh::mesh_bounds &Bounds) {
  Impl->Times = mesh::relayTimingFor(Bounds.ConfigPropagationTime);
  Impl->updateHealthCheck();
}

void feed_task::start() { Impl->Store.start(*this); }

void feed_task::onFollowerPoll(std::shared_ptr<http1::exchange> Exchange) {
  Impl->onFollowerPoll(std::move(Exchange));
}

void feed_task::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  Impl->setConfiguration(std::move(Next));
  Impl->answerPendingPolls();
}

void feed_task::onServers(std::vector<mesh::server_record> Servers) {
  Impl->setServers(std::move(Servers));
}

void feed_task::onBaseVersions(std::map<service_name, version_name> Versions) {
  Impl->BaseVersionsKnown = true;
  Impl->ControlState.BaseVersions = std::move(Versions);
  Impl->Node.onBaseVersions(Impl->ControlState.BaseVersions);
  Impl->onControlStateChanged();
}

void feed_task::onRollouts(std::vector<mesh::rollout_record> Rollouts) {
  Impl->RolloutsKnown = true;
  Impl->ControlState.Rollouts = std::move(Rollouts);
  Impl->Node.onRollouts(Impl->ControlState.Rollouts);
  Impl->onControlStateChanged();
}

void feed_task::onZonesOutOfService(std::set<zone_name> Zones) {
  Impl->ZonesKnown = true;
  Impl->ControlState.ZonesOutOfService = std::move(Zones);
  Impl->Node.onZonesOutOfService(Impl->ControlState.ZonesOutOfService);
  Impl->onControlStateChanged();
}

void feed_task::onSyncState(bool InSync) {
  Impl->StoreInSync = InSync;
  if (InSync)
    Impl->answerPendingPolls();
  else
    Impl->rejectPendingPolls(Unavailable);
  if (Impl->Source == feed_source::Store)
    Impl->Node.onSyncState(InSync);
}

} // namespace gentianlug::gateway
