#include "relay_exchange.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/wire/control_messages.h"

namespace gentianlug::node {

using namespace distribution;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// Root relays hold the polls of other root relays for up to 3 s.
static constexpr milliseconds PollTimeout{4000};
static constexpr milliseconds FirstPollTimeout{8000};
static constexpr milliseconds RetryDelay{500};

/// A relay is suspected when a request fails and it has not responded for this
/// time.
static constexpr milliseconds SuspectTimeout{2000};

/// Maximum number of polled relays. The design size of 14 zones with 3 slots
/// needs 42.
static constexpr std::size_t MaxPeers = 64;

relay_exchange::relay_exchange(control_context &Context, outputs Outputs)
    : Context(Context), Outputs(std::move(Outputs)), Client(Context.Loop) {}

void relay_exchange::setRelays(const std::vector<relay_entry> &Relays) {
  std::map<node_id, std::shared_ptr<peer>> Updated;
  std::vector<node_id> Added;
  for (const relay_entry &Relay : Relays) {
    if (Relay.Node == Context.Settings.Node || Updated.size() >= MaxPeers)
      continue;
    auto Existing = Peers.find(Relay.Node);
    if (Existing != Peers.end() && Existing->second->Relay == Relay) {
      Updated.insert(*Existing);
      continue;
    }
    node_id Node = Relay.Node;
    auto Peer = std::make_shared<peer>(peer{
        Relay, {}, net::timer(Context.Loop, [this, Node] { poll(Node); })});
    Peer->LastResponse = Context.now();
    Updated[Node] = std::move(Peer);
    Added.push_back(Node);
  }
  Peers = std::move(Updated);
  for (const node_id &Node : Added)
    poll(Node);
}

void relay_exchange::poll(const node_id &Node) {
  auto Entry = Peers.find(Node);
  if (Entry == Peers.end())
    return;
  std::shared_ptr<peer> Peer = Entry->second;
  sync_request Request;
  Request.From = Context.self();
  Request.Role = sync_role::Relay;
  Request.Cursor = Peer->Cursor;
  Request.ConfigVersion = Context.State.configVersion();
  Request.RefusedVersion = Context.State.refusedVersion();
  Request.MemberDigest = Context.State.members().digest();
  Request.Report = Outputs.Report();
  Request.PlatformUnreachable = Outputs.PlatformUnreachable();
  const auto &Buckets = Context.State.members().bucketDigests();
  if (Peer->Cursor == log_cursor{})
    Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
  net::http_request HttpRequest;
  HttpRequest.Method = "POST";
  HttpRequest.Target = "/v1/sync";
  HttpRequest.Body = wire::encode(Request);
  bool IsFirstPoll = Peer->Cursor == log_cursor{};
  Client.send(Peer->Relay.ControlAddress, HttpRequest,
              IsFirstPoll ? FirstPollTimeout : PollTimeout,
              [this, Peer](const result<net::http_response> &Answer) {
                auto Current = Peers.find(Peer->Relay.Node);
                if (Current != Peers.end() && Current->second == Peer)
                  onResponse(*Peer, Answer);
              });
}

void relay_exchange::onResponse(peer &Peer,
                                const result<net::http_response> &Answer) {
  if (!Answer)
    return onFailure(Peer, Answer.failure().message());
  if (Answer->Status != 200)
    return onFailure(Peer, "status " + std::to_string(Answer->Status));
  auto Response = wire::decodeSyncResponse(Answer->Body);
  if (!Response)
    return onFailure(Peer, Response.failure().message());
  steady_time Now = Context.now();
  Peer.LastResponse = Now;
  Peer.Cursor.Sequence = Response->Update.Cursor.Sequence;
  if (Response->Update.Cursor.Epoch)
    Peer.Cursor.Epoch = Response->Update.Cursor.Epoch;
  // After a network partition, the states can differ in records that the update
  // log does not contain, so the next poll requests the complete state.
  if (std::exchange(Peer.Unresponsive, false) || Response->Resync)
    Peer.Cursor = {};
  update_outcome Outcome =
      Context.State.apply(Response->Update, update_source::Upstream, Now);
  // Records that the other relay lacks are sent in the response to its own poll
  // of this relay; until then, the digests differ.
  Outputs.Changed(Outcome);
  poll(Peer.Relay.Node);
}

void relay_exchange::onFailure(peer &Peer, const std::string &Reason) {
  steady_time Now = Context.now();
  if (!Peer.Unresponsive && Now - Peer.LastResponse >= SuspectTimeout) {
    Peer.Unresponsive = true;
    logEvent(event::RelayPeerLost, Peer.Relay.Node.str() + ": " + Reason);
    Outputs.Changed(Context.State.suspect(Peer.Relay.Node, Now));
  }
  Peer.RetryTimer.startOnce(RetryDelay);
}

} // namespace gentianlug::node
