#include "gentianlug/gateway/feed_task.h"

#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/relay_order.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

using observe::event;

/// How often a relay looks for questions whose time is over, in parts of that
/// time.
static constexpr int HoldChecks = 4;
/// Pause before a node that watches the store itself looks for a relay again.
static constexpr std::chrono::milliseconds FollowRetry{2000};
/// Pause between two steps of a search.
static constexpr std::chrono::milliseconds SearchPause{250};
static constexpr std::chrono::milliseconds RelayConnectTimeout{300};
static constexpr std::chrono::milliseconds RelayIdle{20000};
/// Questions that a relay holds; further ones are refused.
static constexpr std::size_t MaxHeld = 4 * mesh::NodesPerRelay;
static constexpr int Ok = 200;
static constexpr int NoNews = 204;
static constexpr int BadRequest = 400;
/// The node does not relay (any more); the servers show which one does.
static constexpr int NoRelay = 410;
/// The node relays, and cannot say whether it knows all changes.
static constexpr int Unavailable = 503;

namespace {

/// From where a node hears of changes.
enum class feed_source { Search, Store, Relay };

struct held_question {
  std::shared_ptr<http1::exchange> Exchange;
  feed_cursor Cursor;
  steady_time Until;
};

} // namespace

struct feed_task::impl {
  task_context Context;
  node_place Place;
  mesh_store &Store;
  mesh_watcher &Node;
  feed_state State;
  http1::client_pool Pool;
  net::timer PollTimer;
  net::timer LimitTimer;
  net::timer HoldTimer;
  std::vector<held_question> Held;
  feed_source Source = feed_source::Search;
  mesh::relay_search Search;
  mesh::feed_times Times;
  bool Relaying = false;
  /// Whether the store, which is watched, has shown all that it holds (true) or
  /// was lost (false).
  std::optional<bool> Contact;
  /// The relay has lost the store, and this node does not reach it either.
  bool StoreAway = false;
  std::optional<http1::client_pool::ticket> Asked;
  feed_cursor Cursor;
  node_id AskedRelay;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::optional<std::vector<mesh::server_record>> Servers;
  mesh_orders Orders;
  bool Probing = false;
  steady_time NextProbe{};
  bool BasesKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;

  impl(task_context Context, node_place Place, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Place(std::move(Place)), Store(Store), Node(Node),
        State(drawHexId(Context.Gen)), Pool(Context.Loop, {}, {}),
        PollTimer(Context.Loop, [this] { poll(); }),
        LimitTimer(Context.Loop, [this] { onSilence(); }),
        HoldTimer(Context.Loop, [this] { endHeld(); }) {}

  bool complete() const {
    return Configuration && Servers && BasesKnown && RolloutsKnown &&
           ZonesKnown;
  }

  std::vector<mesh::server_record> order() const {
    return Servers ? mesh::relayOrder(*Servers, Place.Zone, Place.Node)
                   : std::vector<mesh::server_record>();
  }

  // The side of a relay.

  void setPulse() {
    if (Relaying)
      Store.setPulse(store_pulse{Times.PulsePeriod, Times.PulseTimeout});
    else
      Store.setPulse(std::nullopt);
  }

  void decideRole() {
    auto Order = order();
    bool Next = !Order.empty() && Order.front().Node == Place.Node;
    if (Next == Relaying)
      return;
    Relaying = Next;
    Context.Log.write(Next ? event::RelayGained : event::RelayLost,
                      {{"zone", Place.Zone.str()}});
    setPulse();
    if (Relaying) {
      if (Source != feed_source::Store)
        watchStore("is relay itself");
      HoldTimer.startEvery(Times.Hold / HoldChecks);
    } else {
      HoldTimer.cancel();
      refuseHeld(NoRelay);
      PollTimer.startOnce(drawJitter(Context.Gen, SearchPause));
    }
  }

  void onQuestion(std::shared_ptr<http1::exchange> Exchange) {
    auto At = decodeCursor(Exchange->received().Body);
    if (!At) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange->client().str()},
                         {"reason", At.failure().message()}});
      return Exchange->respond(http1::statusAnswer(BadRequest));
    }
    if (!Relaying)
      return Exchange->respond(http1::statusAnswer(NoRelay));
    if (Contact == false || Held.size() >= MaxHeld)
      return Exchange->respond(http1::statusAnswer(Unavailable));
    // A new relay knows in a moment whether it knows all changes.
    if (!Contact || !complete() || !answer(*Exchange, *At))
      Held.push_back(
          {std::move(Exchange), *At, Context.Clock.steadyNow() + Times.Hold});
  }

  bool answer(http1::exchange &Exchange, const feed_cursor &At) {
    auto Update = State.since(At);
    if (!Update)
      return false;
    http1::response Answer = http1::statusAnswer(Ok);
    Answer.Body = encodeUpdate(*Update);
    Exchange.respond(std::move(Answer));
    return true;
  }

  void answerHeld() {
    if (!complete() || Contact != true)
      return;
    std::erase_if(Held, [&](held_question &Each) {
      return answer(*Each.Exchange, Each.Cursor);
    });
  }

  void endHeld() {
    auto Now = Context.Clock.steadyNow();
    std::erase_if(Held, [&](held_question &Each) {
      if (Now < Each.Until)
        return false;
      Each.Exchange->respond(
          http1::statusAnswer(Contact == true ? NoNews : Unavailable));
      return true;
    });
  }

  void refuseHeld(int Status) {
    for (held_question &Each : std::exchange(Held, {}))
      Each.Exchange->respond(http1::statusAnswer(Status));
  }

  // The side of a follower.

  void poll() {
    if (Relaying || Asked)
      return;
    auto Order = order();
    if (StoreAway && !Probing && Context.Clock.steadyNow() >= NextProbe)
      probeStore();
    if (Source == feed_source::Search)
      return search(Order);
    if (!Order.empty())
      return ask(Order.front());
    PollTimer.startOnce(drawJitter(Context.Gen, FollowRetry));
  }

  void search(const std::vector<mesh::server_record> &Order) {
    PollTimer.startOnce(drawJitter(Context.Gen, SearchPause));
    switch (mesh::nextStep(Search, Times, Order, Place.Node,
                           Context.Clock.steadyNow())) {
    case mesh::search_step::Read:
      return Store.readServers();
    case mesh::search_step::Ask:
      return ask(Order.front());
    case mesh::search_step::Watch:
      if (StoreAway && !Order.empty() && Order.front().Node != Place.Node)
        return ask(Order.front());
      watchStore("no relay found");
      return decideRole();
    }
  }

  void ask(const mesh::server_record &Relay) {
    PollTimer.cancel();
    AskedRelay = Relay.Node;
    Cursor.Config = Configuration ? Configuration->Version : 0;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = FeedPath;
    Request.Headers.add("Host", Relay.NodeAddress.str());
    Request.Body = encodeCursor(Cursor);
    Asked = Pool.send(Relay.NodeAddress, std::move(Request),
                      {RelayConnectTimeout, RelayIdle, ""},
                      [this](http1::send_result Result) {
                        Asked.reset();
                        LimitTimer.cancel();
                        onAnswer(Result);
                      });
    LimitTimer.startOnce(Times.Hold + Times.Answer);
  }

  void onSilence() {
    if (!Asked)
      return;
    Pool.cancel(*Asked);
    Asked.reset();
    // Changes may have been missed since the question went out.
    loseStore("relay is silent");
  }

  void onAnswer(const http1::send_result &Result) {
    if (Relaying)
      return;
    if (Result.End != http1::send_end::Answered)
      return loseRelay("relay does not answer");
    if (Result.Answer.Status == Unavailable && Source == feed_source::Relay)
      return loseStore("relay has lost the store");
    if (Result.Answer.Status != Ok && Result.Answer.Status != NoNews)
      return loseRelay("does not relay");
    if (Result.Answer.Status == NoNews) {
      attach();
      return poll();
    }
    auto Update = decodeUpdate(Result.Answer.Body);
    if (!Update) {
      Context.Log.write(event::RelayPeerLost,
                        {{"relay", AskedRelay.str()},
                         {"reason", Update.failure().message()}});
      return watchStore("malformed answer");
    }
    attach();
    apply(*Update);
    poll();
  }

  /// The relay cannot be trusted with changes any more: this node watches the
  /// store itself, unless the store is away for it too.
  void loseStore(const char *Why) {
    loseRelay(Why);
    probeStore();
  }

  void probeStore() {
    Probing = true;
    Store.probe([this](bool Reached) {
      Probing = false;
      if (Source != feed_source::Search)
        return;
      if (!Reached) {
        NextProbe = Context.Clock.steadyNow() + Times.AwayProbe / 2 +
                    drawJitter(Context.Gen, Times.AwayProbe / 2);
        if (!std::exchange(StoreAway, true))
          Node.onContact(false);
        return;
      }
      // After an outage the relay finds the store again in a moment; a relay
      // that alone has lost it does not.
      if (!std::exchange(StoreAway, false))
        return watchStore("relay has lost the store");
      Search.Since = Context.Clock.steadyNow() - Times.Handover / 2;
    });
  }

  void attach() {
    StoreAway = false;
    if (Source == feed_source::Relay)
      return;
    Source = feed_source::Relay;
    Contact.reset();
    Store.setWatching(false);
    Context.Log.write(event::ParentAttached, {{"relay", AskedRelay.str()}});
    Node.onContact(true);
  }

  /// Another node may have become the relay, or will in a moment.
  void loseRelay(const char *Why) {
    Cursor = {};
    Search.Refused = true;
    PollTimer.startOnce(drawJitter(
        Context.Gen, Source == feed_source::Store ? FollowRetry : SearchPause));
    if (Source != feed_source::Relay)
      return;
    Source = feed_source::Search;
    Search = {Context.Clock.steadyNow(), false, false, false};
    Context.Log.write(event::ParentLost,
                      {{"relay", AskedRelay.str()}, {"reason", Why}});
  }

  void watchStore(const char *Why) {
    Cursor = {};
    PollTimer.startOnce(drawJitter(Context.Gen, FollowRetry));
    if (Source == feed_source::Store)
      return;
    if (Source == feed_source::Relay)
      Context.Log.write(event::ParentLost,
                        {{"relay", AskedRelay.str()}, {"reason", Why}});
    Source = feed_source::Store;
    StoreAway = false;
    Contact.reset();
    Store.setWatching(true);
  }

  void apply(const feed_update &Update) {
    Cursor = Update.Cursor;
    // The store may have shown a newer version while the question was out; the
    // next question then names that one.
    if (Update.Config)
      if (auto Next = applyChange(Configuration.get(), *Update.Config))
        setConfiguration(std::move(Next));
    if (Update.ServersWhole || !Update.Servers.empty() ||
        !Update.ServersRemoved.empty())
      applyServers(Update);
    if (Update.Orders) {
      BasesKnown = RolloutsKnown = ZonesKnown = true;
      Orders = *Update.Orders;
      State.setOrders(Orders);
      Node.onBaseVersions(Orders.Bases);
      Node.onRollouts(Orders.Rollouts);
      Node.onZonesOut(Orders.ZonesOut);
    }
  }

  void applyServers(const feed_update &Update) {
    std::map<node_id, mesh::server_record> Next;
    if (!Update.ServersWhole && Servers)
      for (const mesh::server_record &Record : *Servers)
        Next[Record.Node] = Record;
    for (const mesh::server_record &Record : Update.Servers)
      Next[Record.Node] = Record;
    for (const node_id &Gone : Update.ServersRemoved)
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
    State.setConfiguration(Next);
    Node.onConfiguration(std::move(Next));
  }

  void setServers(std::vector<mesh::server_record> Next) {
    bool First = !Servers;
    Servers = std::move(Next);
    State.setServers(*Servers);
    Node.onServers(*Servers);
    // Followers learn who relays next before this node refuses them.
    answerHeld();
    if (Source != feed_source::Search)
      return decideRole();
    auto Now = Context.Clock.steadyNow();
    if (First)
      Search = {Now, true, Servers->empty(), false};
    Search.Refused = false;
    // A read here would follow upon each read without a pause.
    if (mesh::nextStep(Search, Times, order(), Place.Node, Now) !=
        mesh::search_step::Read)
      return poll();
    if (First)
      PollTimer.startOnce(drawJitter(Context.Gen, SearchPause));
  }

  void ordersChanged() {
    if (BasesKnown && RolloutsKnown && ZonesKnown)
      State.setOrders(Orders);
    answerHeld();
  }
};

feed_task::feed_task(task_context Context, node_place Place, mesh_store &Store,
                     mesh_watcher &Node)
    : Impl(std::make_shared<impl>(Context, std::move(Place), Store, Node)) {}

feed_task::~feed_task() = default;

void feed_task::onBounds(const mesh::mesh_bounds &Bounds) {
  Impl->Times = mesh::feedTimes(Bounds.ConfigTime);
  Impl->setPulse();
}

void feed_task::start() { Impl->Store.start(*this); }

void feed_task::onQuestion(std::shared_ptr<http1::exchange> Exchange) {
  Impl->onQuestion(std::move(Exchange));
}

void feed_task::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  Impl->setConfiguration(std::move(Next));
  Impl->answerHeld();
}

void feed_task::onServers(std::vector<mesh::server_record> Servers) {
  Impl->setServers(std::move(Servers));
}

void feed_task::onBaseVersions(std::map<service_name, version_name> Versions) {
  Impl->BasesKnown = true;
  Impl->Orders.Bases = std::move(Versions);
  Impl->Node.onBaseVersions(Impl->Orders.Bases);
  Impl->ordersChanged();
}

void feed_task::onRollouts(std::vector<mesh::rollout_record> Rollouts) {
  Impl->RolloutsKnown = true;
  Impl->Orders.Rollouts = std::move(Rollouts);
  Impl->Node.onRollouts(Impl->Orders.Rollouts);
  Impl->ordersChanged();
}

void feed_task::onZonesOut(std::set<zone_name> Zones) {
  Impl->ZonesKnown = true;
  Impl->Orders.ZonesOut = std::move(Zones);
  Impl->Node.onZonesOut(Impl->Orders.ZonesOut);
  Impl->ordersChanged();
}

void feed_task::onContact(bool Current) {
  Impl->Contact = Current;
  if (Current)
    Impl->answerHeld();
  else
    Impl->refuseHeld(Unavailable);
  if (Impl->Source == feed_source::Store)
    Impl->Node.onContact(Current);
}

} // namespace gentianlug::gateway
