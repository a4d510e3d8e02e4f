#include "gentianlug/gateway/feed_task.h"

#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/relay_selection.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

using observe::event;

/// How often a relay looks for questions whose time is over, in parts of that
/// time.
static constexpr int ExpiryChecksPerPoll = 4;
/// Pause before a node that watches the store itself looks for a relay again.
static constexpr std::chrono::milliseconds RelayRetryDelay{2000};
/// Pause between two steps of a search.
static constexpr std::chrono::milliseconds SearchStepDelay{250};
static constexpr std::chrono::milliseconds RelayConnectTimeout{300};
static constexpr std::chrono::milliseconds RelayIdleTimeout{20000};
/// Questions that a relay holds; further ones are refused.
static constexpr std::size_t MaxPendingPolls = 4 * mesh::NodesPerRelay;
static constexpr int Ok = 200;
static constexpr int NoContent = 204;
static constexpr int BadRequest = 400;
/// The node does not relay (any more); the servers show which one does.
static constexpr int NotRelay = 410;
/// The node relays, and cannot say whether it knows all changes.
static constexpr int Unavailable = 503;

namespace {

/// From where a node hears of changes.
enum class feed_source { Search, Store, Relay };

struct pending_poll {
  std::shared_ptr<http1::exchange> Exchange;
  feed_cursor Cursor;
  steady_time Deadline;
};

} // namespace

struct feed_task::impl {
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
  /// Whether the store, which is watched, has shown all that it holds (true) or
  /// was lost (false).
  std::optional<bool> StoreInSync;
  /// The relay has lost the store, and this node does not reach it either.
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

  impl(task_context Context, node_location Place, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Location(std::move(Place)), Store(Store), Node(Node),
        History(drawHexId(Context.Gen)), Pool(Context.Loop, {}, {}),
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

  // The side of a relay.

  void updateHealthCheck() {
    if (Relaying)
      Store.setHealthCheck(store_health_check{Times.HealthCheckInterval,
                                              Times.HealthCheckTimeout});
    else
      Store.setHealthCheck(std::nullopt);
  }

  void updateRole() {
    auto Order = relayCandidates();
    bool Next = !Order.empty() && Order.front().Node == Location.Node;
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
    auto At = decodeCursor(Exchange->received().Body);
    if (!At) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange->client().str()},
                         {"reason", At.failure().message()}});
      return Exchange->respond(http1::statusAnswer(BadRequest));
    }
    if (!Relaying)
      return Exchange->respond(http1::statusAnswer(NotRelay));
    if (StoreInSync == false || PendingPolls.size() >= MaxPendingPolls)
      return Exchange->respond(http1::statusAnswer(Unavailable));
    // A new relay knows in a moment whether it knows all changes.
    if (!StoreInSync || !isComplete() || !respondIfChanged(*Exchange, *At))
      PendingPolls.push_back({std::move(Exchange), *At,
                              Context.Clock.steadyNow() + Times.LongPollTime});
  }

  bool respondIfChanged(http1::exchange &Exchange, const feed_cursor &At) {
    auto Update = History.changesSince(At);
    if (!Update)
      return false;
    http1::response Answer = http1::statusAnswer(Ok);
    Answer.Body = encodeUpdate(*Update);
    Exchange.respond(std::move(Answer));
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
      Each.Exchange->respond(
          http1::statusAnswer(StoreInSync == true ? NoContent : Unavailable));
      return true;
    });
  }

  void rejectPendingPolls(int Status) {
    for (pending_poll &Each : std::exchange(PendingPolls, {}))
      Each.Exchange->respond(http1::statusAnswer(Status));
  }

  // The side of a follower.

  void poll() {
    if (Relaying || ActivePoll)
      return;
    auto Order = relayCandidates();
    if (StoreUnreachable && !Probing && Context.Clock.steadyNow() >= NextProbe)
      probeStore();
    if (Source == feed_source::Search)
      return searchRelay(Order);
    if (!Order.empty())
      return pollRelay(Order.front());
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
  }

  void searchRelay(const std::vector<mesh::server_record> &Order) {
    PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
    switch (mesh::nextSearchStep(Search, Times, Order, Location.Node,
                                 Context.Clock.steadyNow())) {
    case mesh::search_step::ReadServers:
      return Store.readServers();
    case mesh::search_step::QueryRelay:
      return pollRelay(Order.front());
    case mesh::search_step::WatchStore:
      if (StoreUnreachable && !Order.empty() &&
          Order.front().Node != Location.Node)
        return pollRelay(Order.front());
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
    // Changes may have been missed since the question went out.
    detachAndProbeStore("relay is silent");
  }

  void onPollResponse(const http1::send_result &Result) {
    if (Relaying)
      return;
    if (Result.End != http1::send_end::Answered)
      return detachFromRelay("relay does not answer");
    if (Result.Answer.Status == Unavailable && Source == feed_source::Relay)
      return detachAndProbeStore("relay has lost the store");
    if (Result.Answer.Status != Ok && Result.Answer.Status != NoContent)
      return detachFromRelay("does not relay");
    if (Result.Answer.Status == NoContent) {
      attachToRelay();
      return poll();
    }
    auto Update = decodeUpdate(Result.Answer.Body);
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

  /// The relay cannot be trusted with changes any more: this node watches the
  /// store itself, unless the store is away for it too.
  void detachAndProbeStore(const char *Why) {
    detachFromRelay(Why);
    probeStore();
  }

  void probeStore() {
    Probing = true;
    Store.probe([this](bool Reached) {
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
      // After an outage the relay finds the store again in a moment; a relay
      // that alone has lost it does not.
      if (!std::exchange(StoreUnreachable, false))
        return watchStore("relay has lost the store");
      Search.StartedAt = Context.Clock.steadyNow() - Times.SearchTimeout / 2;
    });
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

  /// Another node may have become the relay, or will in a moment.
  void detachFromRelay(const char *Why) {
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
                      {{"relay", PolledRelay.str()}, {"reason", Why}});
  }

  void watchStore(const char *Why) {
    Cursor = {};
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
    if (Source == feed_source::Store)
      return;
    if (Source == feed_source::Relay)
      Context.Log.write(event::ParentLost,
                        {{"relay", PolledRelay.str()}, {"reason", Why}});
    Source = feed_source::Store;
    StoreUnreachable = false;
    StoreInSync.reset();
    Store.setWatching(true);
  }

  void applyUpdate(const feed_update &Update) {
    Cursor = Update.Cursor;
    // The store may have shown a newer version while the question was out; the
    // next question then names that one.
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
    for (const node_id &Gone : Update.RemovedServers)
      Next.erase(Gone);
    std::vector<mesh::server_record> All;
    All.reserve(Next.size());
    for (auto &[Name, Record] : Next)
      All.push_back(std::move(Record));
    setServers(std::move(All));
  }

  // Both sides.

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
    // Followers learn who relays next before this node refuses them.
    answerPendingPolls();
    if (Source != feed_source::Search)
      return updateRole();
    auto Now = Context.Clock.steadyNow();
    if (First)
      Search = {Now, true, Servers->empty(), false};
    Search.Rejected = false;
    // A read here would follow upon each read without a pause.
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

feed_task::feed_task(task_context Context, node_location Place,
                     mesh_store &Store, mesh_watcher &Node)
    : Impl(std::make_shared<impl>(Context, std::move(Place), Store, Node)) {}

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

void feed_task::onSyncState(bool Current) {
  Impl->StoreInSync = Current;
  if (Current)
    Impl->answerPendingPolls();
  else
    Impl->rejectPendingPolls(Unavailable);
  if (Impl->Source == feed_source::Store)
    Impl->Node.onSyncState(Current);
}

} // namespace gentianlug::gateway
