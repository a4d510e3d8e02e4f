#include "gentianlug/gateway/feed_task.h"

#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/relay_order.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

using observe::event;

/// How long a relay holds a question while nothing changes.
static constexpr std::chrono::milliseconds HoldTime{1000};
/// Time beyond that until the relay counts as lost.
static constexpr std::chrono::milliseconds AnswerTime{500};
static constexpr std::chrono::milliseconds HoldCheckPeriod{250};
/// Pause before a node that watches the store itself looks for a relay again.
static constexpr std::chrono::milliseconds FollowRetry{2000};
static constexpr std::chrono::milliseconds FirstFollow{300};
static constexpr std::chrono::milliseconds RelayConnectTimeout{300};
static constexpr std::chrono::milliseconds RelayIdle{20000};
/// Questions that a relay holds; further ones are refused.
static constexpr std::size_t MaxHeld = 4 * mesh::NodesPerRelay;
static constexpr int Ok = 200;
static constexpr int NoNews = 204;
static constexpr int BadRequest = 400;
static constexpr int Unavailable = 503;

namespace {

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
  bool Following = false;
  bool Relaying = false;
  bool Contact = false;
  std::optional<http1::client_pool::ticket> Asked;
  feed_cursor Cursor;
  node_id AskedRelay;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::optional<std::vector<mesh::server_record>> Servers;
  mesh_orders Orders;
  bool BasesKnown = false;
  bool RolloutsKnown = false;
  bool ZonesKnown = false;

  impl(task_context Context, node_place Place, mesh_store &Store,
       mesh_watcher &Node)
      : Context(Context), Place(std::move(Place)), Store(Store), Node(Node),
        State(drawHexId(Context.Gen)), Pool(Context.Loop, {}, {}),
        PollTimer(Context.Loop, [this] { ask(); }),
        LimitTimer(Context.Loop, [this] { onSilence(); }),
        HoldTimer(Context.Loop, [this] { endHeld(); }) {}

  bool complete() const {
    return Configuration && Servers && BasesKnown && RolloutsKnown &&
           ZonesKnown;
  }

  // The side of a relay.

  void decideRole() {
    if (!Servers)
      return;
    auto Order = mesh::relayOrder(*Servers, Place.Zone, Place.Node);
    bool Next = !Order.empty() && Order.front().Node == Place.Node;
    if (Next == Relaying)
      return;
    Relaying = Next;
    Context.Log.write(Next ? event::RelayGained : event::RelayLost,
                      {{"zone", Place.Zone.str()}});
    Store.setPulse(Relaying);
    if (Relaying) {
      if (Following)
        watchStore("is relay itself");
      HoldTimer.startEvery(HoldCheckPeriod);
    } else {
      HoldTimer.cancel();
      refuseHeld();
      PollTimer.startOnce(drawJitter(Context.Gen, FirstFollow));
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
    if (!Relaying || Following || !Contact || !complete() ||
        Held.size() >= MaxHeld)
      return Exchange->respond(http1::statusAnswer(Unavailable));
    if (!answer(*Exchange, *At))
      Held.push_back(
          {std::move(Exchange), *At, Context.Clock.steadyNow() + HoldTime});
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
    if (!complete())
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
      Each.Exchange->respond(http1::statusAnswer(NoNews));
      return true;
    });
  }

  void refuseHeld() {
    for (held_question &Each : std::exchange(Held, {}))
      Each.Exchange->respond(http1::statusAnswer(Unavailable));
  }

  // The side of a follower.

  void ask() {
    if (Relaying || Asked)
      return;
    auto Order = complete() ? mesh::relayOrder(*Servers, Place.Zone, Place.Node)
                            : std::vector<mesh::server_record>();
    if (Order.empty())
      return PollTimer.startOnce(drawJitter(Context.Gen, FirstFollow));
    const mesh::server_record &Relay = Order.front();
    AskedRelay = Relay.Node;
    Cursor.Config = Configuration->Version;
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
    LimitTimer.startOnce(HoldTime + AnswerTime);
  }

  void onSilence() {
    if (!Asked)
      return;
    Pool.cancel(*Asked);
    Asked.reset();
    watchStore("relay is silent");
  }

  void onAnswer(const http1::send_result &Result) {
    if (Relaying)
      return;
    if (Result.End != http1::send_end::Answered ||
        (Result.Answer.Status != Ok && Result.Answer.Status != NoNews))
      return watchStore("relay does not answer");
    if (Result.Answer.Status == NoNews) {
      if (Following)
        return ask();
      return watchStore("relay has another life");
    }
    auto Update = decodeUpdate(Result.Answer.Body);
    if (!Update) {
      Context.Log.write(event::RelayPeerLost,
                        {{"relay", AskedRelay.str()},
                         {"reason", Update.failure().message()}});
      return watchStore("malformed answer");
    }
    if (!Following) {
      Following = true;
      Store.setWatching(false);
      Context.Log.write(event::ParentAttached, {{"relay", AskedRelay.str()}});
    }
    apply(*Update);
    if (Following)
      ask();
  }

  void watchStore(const char *Why) {
    Cursor = {};
    PollTimer.startOnce(drawJitter(Context.Gen, FollowRetry));
    if (!Following)
      return;
    Following = false;
    Context.Log.write(event::ParentLost,
                      {{"relay", AskedRelay.str()}, {"reason", Why}});
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
      Orders = *Update.Orders;
      State.setOrders(Orders);
      Node.onBaseVersions(Orders.Bases);
      Node.onRollouts(Orders.Rollouts);
      Node.onZonesOut(Orders.ZonesOut);
    }
  }

  void applyServers(const feed_update &Update) {
    std::map<node_id, mesh::server_record> Next;
    if (!Update.ServersWhole)
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
    decideRole();
    if (First && !Relaying)
      PollTimer.startOnce(drawJitter(Context.Gen, FirstFollow));
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
  Impl->answerHeld();
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
  if (!Current)
    Impl->refuseHeld();
  if (!Impl->Following)
    Impl->Node.onContact(Current);
}

} // namespace gentianlug::gateway
