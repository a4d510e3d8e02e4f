#include "gentianlug/gateway/feed_task.h"

#include "follower_polls.h"
#include "gentianlug/core/weak_callback.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/relay_selection.h"
#include "gentianlug/net/timer.h"

#include <charconv>
#include <cstdlib>

namespace gentianlug::gateway {

using observe::event;

/// Number of checks for expired polls within one long-poll time.
static constexpr int ExpiryChecksPerPoll = 4;
/// Delay before a node that watches the store itself polls a relay again.
static constexpr std::chrono::milliseconds RelayRetryDelay{2000};
/// Delay between two steps of the relay search while all nodes start. Most of
/// these steps read the servers again.
static constexpr std::chrono::milliseconds NewMeshStepDelay{600};
/// Delay between two steps of the relay search.
static constexpr std::chrono::milliseconds SearchStepDelay{250};
static constexpr std::chrono::milliseconds RelayConnectTimeout{300};
static constexpr std::chrono::milliseconds RelayIdleTimeout{20000};
/// Time for which a node that does not relay yet, or no longer, is avoided.
static constexpr std::chrono::milliseconds NotRelayAvoidance{250};
/// Shortest time for which a relay that has failed is avoided; up to twice as
/// long, so that followers do not return at the same time.
static constexpr std::chrono::milliseconds FailedRelayAvoidance{2000};
/// Checks within the time in which a withdrawn key has to be rejected, so that
/// most of this time is left to a node that loses its relay.
static constexpr int ConfirmationsPerWithdrawalTime = 7;
/// Largest offset that a relay may state.
static constexpr std::chrono::milliseconds MaxConfirmationOffset =
    std::chrono::hours(1);
/// A substitute without polls of followers for this time follows its relay
/// again.
static constexpr std::chrono::milliseconds SubstituteIdleTime{2000};

namespace {

/// Source from which a node receives changes.
enum class feed_source { Search, Store, Relay };

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
  follower_polls FollowerPolls;
  feed_source Source = feed_source::Search;
  mesh::relay_search Search;
  mesh::relay_failures RelayFailures;
  mesh::relay_timing Times;
  bool Relaying = false;
  /// This node serves followers that cannot use their relay.
  bool Substituting = false;
  steady_time LastSubstitutePoll{};
  /// State of the store watch: true once everything has been read, false after
  /// the connection was lost, empty before either.
  std::optional<bool> StoreInSync;
  /// Neither the relay nor this node can reach the store.
  bool StoreUnreachable = false;
  std::optional<http1::client_pool::ticket> ActivePoll;
  steady_time PollSentAt{};
  feed_cursor Cursor;
  node_id PolledRelay;
  address PolledAddress;
  /// The relay that last served this node.
  node_id AttachedRelay;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::optional<std::vector<mesh::server_record>> Servers;
  control_state ControlState;
  bool Probing = false;
  steady_time NextProbe{};
  std::function<void(const change_source &)> SourceHandler;
  bool BaseVersionsKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;

  impl(task_context Context, node_location Location, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Location(std::move(Location)), Store(Store),
        Node(Node), History(drawHexId(Context.Gen)),
        Pool(Context.Loop, {}, {}, &Context.Memory),
        PollTimer(Context.Loop, [this] { poll(); }),
        PollTimeoutTimer(Context.Loop, [this] { onPollTimeout(); }),
        PollExpiryTimer(Context.Loop, [this] { expireFollowerPolls(); }),
        FollowerPolls(History) {}

  void reportSource(const change_source &Next) {
    if (SourceHandler)
      SourceHandler(Next);
  }

  bool isComplete() const {
    return Configuration && Servers && BaseVersionsKnown && RolloutsKnown &&
           ZonesKnown;
  }

  bool isStarting() const {
    return Source == feed_source::Search && Search.ProcessStarting;
  }

  std::vector<mesh::server_record> relayCandidates() const {
    return Servers ? mesh::rankRelays(*Servers, Location.Zone, Location.Node)
                   : std::vector<mesh::server_record>();
  }

  // Relay side.

  bool servesFollowers() const { return Relaying || Substituting; }

  /// Returns whether the state of this node may be sent to followers.
  bool canServe() const { return StoreInSync == true && isComplete(); }

  /// A node that watches the store relies on its watches, so it checks them
  /// also without followers.
  void updateHealthCheck() {
    if (servesFollowers() || Source == feed_source::Store)
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
    if (Relaying) {
      startServing();
      if (Source != feed_source::Store)
        watchStore("is relay itself");
    } else if (!Substituting) {
      stopServing();
    }
  }

  void startServing() {
    cancelPoll();
    updateHealthCheck();
    PollExpiryTimer.startEvery(Times.LongPollTime / ExpiryChecksPerPoll);
  }

  /// Follows the relay again.
  void stopServing() {
    updateHealthCheck();
    PollExpiryTimer.cancel();
    FollowerPolls.respondToAll(poll_status::NotRelay);
    PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
  }

  void onFollowerPoll(std::shared_ptr<http1::exchange> Exchange) {
    auto Since = decodeCursor(Exchange->receivedRequest().Body.str());
    if (!Since) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange->clientAddress().str()},
                         {"reason", Since.failure().message()}});
      return Exchange->respond(
          http1::makeStatusResponse(poll_status::BadRequest));
    }
    if (Exchange->receivedRequest().Target == SubstituteFeedPath)
      startSubstituting();
    if (!servesFollowers())
      return Exchange->respond(http1::makeStatusResponse(
          StoreUnreachable ? poll_status::Unavailable : poll_status::NotRelay));
    if (StoreInSync == false)
      return Exchange->respond(
          http1::makeStatusResponse(poll_status::Unavailable));
    // A new relay holds the poll until it has read the whole store.
    steady_time Now = Context.Clock.steadyNow();
    FollowerPolls.add(std::move(Exchange), *Since, canServe(), Now,
                      Now + Times.LongPollTime);
  }

  void answerFollowerPolls() {
    if (canServe())
      FollowerPolls.respondToChanges();
  }

  void expireFollowerPolls() {
    auto Now = Context.Clock.steadyNow();
    FollowerPolls.expire(StoreInSync == true ? poll_status::NoContent
                                             : poll_status::Unavailable,
                         Now);
    if (Substituting && FollowerPolls.empty() &&
        Now - LastSubstitutePoll > SubstituteIdleTime)
      stopSubstituting();
  }

  /// Serves followers although this node is not the relay, unless it cannot
  /// reach the store either.
  void startSubstituting() {
    LastSubstitutePoll = Context.Clock.steadyNow();
    if (servesFollowers() || StoreUnreachable)
      return;
    Substituting = true;
    Context.Log.write(event::RelayGained,
                      {{"zone", Location.Zone.str()}, {"substitute", 1}});
    startServing();
    if (Source == feed_source::Store)
      return;
    // Does not answer until this node watches the store.
    StoreInSync.reset();
    Store.probe(bindWeakly(shared_from_this(), &impl::onProbedForSubstitution));
  }

  void onProbedForSubstitution(bool Reached) {
    if (!Substituting || Source == feed_source::Store)
      return;
    if (Reached)
      return watchStore("substitutes for the relay");
    FollowerPolls.respondToAll(poll_status::Unavailable);
    stopSubstituting();
  }

  void stopSubstituting() {
    Substituting = false;
    Context.Log.write(event::RelayLost,
                      {{"zone", Location.Zone.str()}, {"substitute", 1}});
    if (!Relaying)
      stopServing();
  }

  // Follower side.

  /// Returns the relay and its substitutes that this node may poll, best first.
  /// While the store is unreachable, substitutes would not serve this node
  /// either; while the process starts, the relay may still be starting too.
  std::vector<mesh::server_record> usableRelays() const {
    auto Candidates = relayCandidates();
    if (StoreUnreachable || isStarting())
      return Candidates;
    return RelayFailures.usableRelays(Candidates, Context.Clock.steadyNow());
  }

  void poll() {
    if (servesFollowers() || ActivePoll)
      return;
    auto Relays = usableRelays();
    if (StoreUnreachable && !Probing && Context.Clock.steadyNow() >= NextProbe)
      probeStore();
    if (Source == feed_source::Search)
      return searchRelay(Relays);
    if (canPoll(Relays))
      return pollRelay(Relays.front());
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
    if (Source != feed_source::Relay)
      return;
    detachFromRelay("no candidate serves this node");
    probeStore();
  }

  bool canPoll(const std::vector<mesh::server_record> &Relays) const {
    return !Relays.empty() && Relays.front().Node != Location.Node;
  }

  void searchRelay(const std::vector<mesh::server_record> &Relays) {
    PollTimer.startOnce(Search.MeshIsNew
                            ? NewMeshStepDelay / 2 +
                                  drawJitter(Context.Gen, NewMeshStepDelay / 2)
                            : drawJitter(Context.Gen, SearchStepDelay));
    switch (mesh::nextSearchStep(Search, Times, Relays, Location.Node,
                                 Context.Clock.steadyNow())) {
    case mesh::search_step::ReadServers:
      return Store.readServers();
    case mesh::search_step::QueryRelay:
      return pollRelay(Relays.front());
    case mesh::search_step::WatchStore:
      if (StoreUnreachable && canPoll(Relays))
        return pollRelay(Relays.front());
      watchStore("no relay found");
      return updateRole();
    }
  }

  void pollRelay(const mesh::server_record &Relay) {
    PollTimer.cancel();
    PolledRelay = Relay.Node;
    PolledAddress = Relay.NodeAddress;
    Cursor.ConfigVersion = Configuration ? Configuration->Version : 0;
    bool IsSubstitute = relayCandidates().front().Node != Relay.Node;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = IsSubstitute ? SubstituteFeedPath : FeedPath;
    Request.Headers.add("Host", Relay.NodeAddress.str());
    Request.Body = encodeCursor(Cursor);
    PollSentAt = Context.Clock.steadyNow();
    ActivePoll = Pool.send(Relay.NodeAddress, std::move(Request),
                           {RelayConnectTimeout, RelayIdleTimeout, ""},
                           [this](http1::send_result Result) {
                             ActivePoll.reset();
                             PollTimeoutTimer.cancel();
                             onPollResponse(Result);
                           });
    // The first poll at a substitute is answered as soon as it is in sync.
    PollTimeoutTimer.startOnce(IsSubstitute && Source == feed_source::Search
                                   ? Times.SearchTimeout / 2
                                   : Times.LongPollTime + Times.ResponseGrace);
  }

  void cancelPoll() {
    PollTimer.cancel();
    PollTimeoutTimer.cancel();
    if (auto Ticket = std::exchange(ActivePoll, std::nullopt))
      Pool.cancel(*Ticket);
  }

  void onPollTimeout() {
    if (!ActivePoll)
      return;
    cancelPoll();
    // The node may have missed changes since it sent the poll.
    onRelayFailed("relay is silent", true);
  }

  void onPollResponse(const http1::send_result &Result) {
    if (Result.Outcome != http1::send_outcome::Responded)
      return onRelayFailed("relay does not answer", false);
    int Status = Result.Response.Status;
    if (Status == poll_status::Unavailable)
      return onRelayFailed("relay has lost the store", true);
    if (Status == poll_status::NoContent) {
      attachToRelay();
      confirmConfiguration(Result.Response, Cursor.ConfigVersion);
      return poll();
    }
    if (Status != poll_status::Ok) {
      RelayFailures.avoid(PolledRelay,
                          Context.Clock.steadyNow() + NotRelayAvoidance);
      return searchNextRelay("does not relay", false);
    }
    auto Update = decodeUpdate(Result.Response.Body.str());
    if (!Update) {
      Context.Log.write(event::RelayPeerLost,
                        {{"relay", PolledRelay.str()},
                         {"reason", Update.failure().message()}});
      return watchStore("malformed answer");
    }
    attachToRelay();
    applyUpdate(*Update);
    confirmConfiguration(Result.Response, Update->Cursor.ConfigVersion);
    poll();
  }

  /// Passes on that the relay, which has \p Version, knew it to be the newest
  /// configuration. The relay measures from the arrival of the poll, so from
  /// the time at which it was sent the result is never too late.
  void confirmConfiguration(const http1::response &Response,
                            config_version Version) {
    const std::string *Field = Response.Headers.find(ConfirmedHeader);
    std::int64_t Millis = 0;
    if (!Field || !Configuration || Configuration->Version < Version)
      return;
    const char *FieldEnd = Field->data() + Field->size();
    auto [End, Failure] = std::from_chars(Field->data(), FieldEnd, Millis);
    if (Failure != std::errc() || End != FieldEnd ||
        std::abs(Millis) > MaxConfirmationOffset.count())
      return;
    Node.onConfigurationConfirmed(
        std::min(PollSentAt + std::chrono::milliseconds(Millis),
                 Context.Clock.steadyNow()));
  }

  void onRelayFailed(const char *Reason, bool MayBeStale) {
    RelayFailures.avoid(PolledRelay,
                        Context.Clock.steadyNow() + FailedRelayAvoidance +
                            drawJitter(Context.Gen, FailedRelayAvoidance));
    searchNextRelay(Reason, MayBeStale);
  }

  /// Polls the next substitute at once. Without one, this node watches the
  /// store itself if it can reach it, or searches for the next relay.
  ///
  /// \param MayBeStale whether changes may have been missed.
  void searchNextRelay(const char *Reason, bool MayBeStale) {
    bool WasAttached = Source == feed_source::Relay;
    // The relay was polled to return to it; its substitute still serves.
    if (WasAttached && PolledRelay != AttachedRelay)
      return poll();
    detachFromRelay(Reason);
    if (isStarting() || StoreUnreachable)
      return;
    if (auto Relays = usableRelays(); canPoll(Relays))
      return pollRelay(Relays.front());
    if (WasAttached ? MayBeStale : Source == feed_source::Search)
      probeStore();
    else if (!MayBeStale)
      PollTimer.startOnce(NotRelayAvoidance);
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
      return watchStore("no relay can reach the store");
    RelayFailures.clear();
    Search.StartedAt = Context.Clock.steadyNow() - Times.SearchTimeout / 2;
  }

  void attachToRelay() {
    StoreUnreachable = false;
    RelayFailures.onServed(PolledRelay);
    if (std::exchange(AttachedRelay, PolledRelay) != PolledRelay)
      Context.Log.write(event::ParentAttached, {{"relay", PolledRelay.str()}});
    reportSource({false, PolledAddress});
    if (Source == feed_source::Relay)
      return;
    Source = feed_source::Relay;
    StoreInSync.reset();
    FollowerPolls.setConfirmedAt(std::nullopt);
    Store.setWatching(false);
    updateHealthCheck();
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
    reportSource({});
    Search = {Context.Clock.steadyNow(), false, false, false};
    Context.Log.write(event::ParentLost,
                      {{"relay", AttachedRelay.str()}, {"reason", Reason}});
    AttachedRelay = {};
  }

  void watchStore(const char *Reason) {
    Cursor = {};
    PollTimer.startOnce(drawJitter(Context.Gen, RelayRetryDelay));
    if (Source == feed_source::Store)
      return;
    if (Source == feed_source::Relay)
      Context.Log.write(event::ParentLost,
                        {{"relay", AttachedRelay.str()}, {"reason", Reason}});
    Source = feed_source::Store;
    reportSource({true, std::nullopt});
    AttachedRelay = {};
    StoreUnreachable = false;
    StoreInSync.reset();
    Store.setWatching(true);
    updateHealthCheck();
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
    answerFollowerPolls();
    if (Source != feed_source::Search)
      return updateRole();
    auto Now = Context.Clock.steadyNow();
    if (First)
      Search = {Now, true, Servers->empty(), false};
    Search.Rejected = false;
    // Each read ends up here, so reading again now would repeat without delay.
    if (mesh::nextSearchStep(Search, Times, usableRelays(), Location.Node,
                             Now) != mesh::search_step::ReadServers)
      return poll();
    if (First)
      PollTimer.startOnce(drawJitter(Context.Gen, SearchStepDelay));
  }

  void onControlStateChanged() {
    if (BaseVersionsKnown && RolloutsKnown && ZonesKnown)
      History.setControlState(ControlState);
    answerFollowerPolls();
  }
};

feed_task::feed_task(task_context Context, node_location Location,
                     mesh_store &Store, mesh_watcher &Node)
    : Impl(std::make_shared<impl>(Context, std::move(Location), Store, Node)) {}

feed_task::~feed_task() = default;

void feed_task::onBounds(const mesh::mesh_bounds &Bounds) {
  Impl->Times = mesh::relayTimingFor(Bounds.ConfigPropagationTime);
  Impl->updateHealthCheck();
  std::optional<std::chrono::milliseconds> Period;
  if (Bounds.KeyWithdrawalTime)
    Period = *Bounds.KeyWithdrawalTime / ConfirmationsPerWithdrawalTime;
  Impl->Store.setConfirmationPeriod(Period);
}

void feed_task::setSourceHandler(
    std::function<void(const change_source &)> Handler) {
  Impl->SourceHandler = std::move(Handler);
}

void feed_task::start() { Impl->Store.start(*this); }

void feed_task::onFollowerPoll(std::shared_ptr<http1::exchange> Exchange) {
  Impl->onFollowerPoll(std::move(Exchange));
}

void feed_task::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  Impl->setConfiguration(std::move(Next));
  Impl->answerFollowerPolls();
}

void feed_task::onServers(std::vector<mesh::server_record> Servers) {
  Impl->setServers(std::move(Servers));
}

void feed_task::onBaseVersions(
    std::map<service_name, mesh::base_version> Versions) {
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
    Impl->answerFollowerPolls();
  else
    Impl->FollowerPolls.respondToAll(poll_status::Unavailable);
  if (Impl->Source == feed_source::Store)
    Impl->Node.onSyncState(InSync);
}

void feed_task::onConfigurationConfirmed(steady_time AsOf) {
  if (Impl->Source != feed_source::Store)
    return;
  bool First = !Impl->FollowerPolls.isConfirmed();
  Impl->FollowerPolls.setConfirmedAt(AsOf);
  Impl->Node.onConfigurationConfirmed(AsOf);
  // Followers accept no keys before they receive the first confirmation.
  if (First && Impl->canServe())
    Impl->FollowerPolls.respondToAll(poll_status::NoContent);
}

} // namespace gentianlug::gateway
