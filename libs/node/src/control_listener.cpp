#include "control_listener.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/wire/control_messages.h"
#include "gentianlug/wire/rollout_values.h"

namespace gentianlug::node {

using namespace distribution;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// How long a poll of a child is held if there is no update for it.
static constexpr milliseconds ChildPollHoldTime{1000};

/// How long a poll of another root relay is held if there is no update for it.
static constexpr milliseconds RelayPollHoldTime{3000};

/// Changes within this time are batched into one response.
static constexpr milliseconds FlushDelay{20};

/// Minimum time between two flushes, which limits the response rate while
/// changes arrive continuously.
static constexpr milliseconds FlushPeriod{100};

/// Time that other root relays have to read a new version from the platform.
/// A relay that still lacks the version after this time, although its reads did
/// not fail, receives the version from this node.
static constexpr milliseconds RelayConfigDelay{1000};

/// Responses of at least this size take a child noticeable time to process.
static constexpr std::size_t LargeResponseBytes = 100 << 10;

/// Period of the checks for expired polls and missing children.
static constexpr milliseconds TickPeriod{200};

/// Maximum number of pending polls. It covers the children, the other root
/// relays, and nodes that are changing their parent. Further polls get status
/// 503.
static constexpr std::size_t MaxPendingPolls = 256;

/// The state of a peer that has not polled for this time is discarded.
static constexpr milliseconds PollerExpiry{10000};

control_listener::control_listener(control_context &Context, outputs Outputs)
    : Context(Context), Outputs(std::move(Outputs)),
      Server(
          Context.Loop, {},
          [this](const net::http_exchange &Exchange) { onRequest(Exchange); }),
      FlushTimer(Context.Loop, [this] { flush(); }),
      TickTimer(Context.Loop, [this] { tick(); }),
      Children(Context.Settings.Node) {
  Context.State.setChildLookup(&Children);
}

result<void> control_listener::listen() {
  TickTimer.startEvery(TickPeriod);
  return Server.listen(Context.Settings.ControlListen);
}

void control_listener::reject(const net::http_exchange &Exchange, int Status,
                              const std::string &Reason) {
  logEvent(event::BadRequest, Exchange.request().Target + ": " + Reason);
  Context.Metrics.count("gentianlug_control_refused_total{status=\"" +
                        std::to_string(Status) + "\"}");
  Exchange.reply(net::errorResponse(Status, Reason));
}

void control_listener::onRequest(const net::http_exchange &Exchange) {
  const net::http_request &Request = Exchange.request();
  std::string_view Path = net::pathOf(Request.Target);
  bool IsPost = Request.Method == "POST";
  if (Path == "/v1/sync" && IsPost)
    return onSync(Exchange);
  if (Path == "/v1/up" && IsPost)
    return onUpstreamRecords(Exchange);
  if (Path == "/v1/attach" && IsPost)
    return onAttach(Exchange);
  if (Path == "/v1/evidence" && IsPost)
    return onEvidence(Exchange);
  if (Path == "/v1/steering" && IsPost)
    return onControllerNotice(Exchange);
  if (Path == "/v1/relays")
    return onRelays(Exchange);
  reject(Exchange, 404, "unknown path");
}

/// Rejects a node that uses the name of a live node with another control
/// address, so that two nodes cannot overwrite each other's records.
bool control_listener::checkNodeName(const net::http_exchange &Exchange,
                                     const peer_identity &From) {
  const membership::member_record *Known =
      Context.State.members().find(From.Node);
  bool IsLive = Known && Known->State != membership::member_state::Suspect &&
                Known->State != membership::member_state::Left;
  if (From.Node != Context.Settings.Node &&
      (!IsLive || From.ControlAddress.Host.empty() ||
       Known->ControlAddress == From.ControlAddress))
    return true;
  reject(Exchange, 409,
         "the name " + From.Node.str() + " belongs to another live node");
  return false;
}

/// Restores the identity of a child that was removed because it polled late, so
/// that its next poll adds it again and it keeps its cursor. The child must
/// attach again only if its place has been given to another node.
void control_listener::readmit(sync_request &Request) const {
  peer_identity &From = Request.From;
  const membership::member_record *Known =
      Context.State.members().find(From.Node);
  if (Request.Role != sync_role::Child || !Known ||
      !From.ControlAddress.Host.empty() || Children.isLiveChild(From.Node))
    return;
  From.Zone = Known->Zone;
  From.Incarnation = Known->Incarnation;
  From.ControlAddress = Known->ControlAddress;
}

bool control_listener::needsResync(const sync_request &Request) {
  poller &Poller = Pollers[Request.From.Node];
  std::uint64_t Own = Context.State.members().digest();
  bool UpToDate = Request.Cursor == Context.State.logHead();
  bool Unchanged =
      Request.MemberDigest == Poller.PeerDigest && Own == Poller.OwnDigest;
  bool Mismatch =
      UpToDate && Request.MemberDigest != 0 && Request.MemberDigest != Own;
  Poller.DigestMismatches =
      Mismatch && Unchanged ? Poller.DigestMismatches + 1 : 0;
  Poller.PeerDigest = Request.MemberDigest;
  Poller.OwnDigest = Own;
  Poller.LastSeen = Context.now();
  if (!Request.From.ControlAddress.Host.empty())
    Poller.Relay = {Request.From.Node, Request.From.Zone,
                    Request.From.ControlAddress};
  Poller.IsRelay = Request.Role == sync_role::Relay;
  if (Request.Report)
    Poller.Report = *Request.Report;
  if (Poller.DigestMismatches < DigestMismatchesBeforeResync)
    return false;
  Poller.DigestMismatches = 0;
  Context.Metrics.count("gentianlug_control_repairs_total");
  return true;
}

void control_listener::onSync(const net::http_exchange &Exchange) {
  auto Request = wire::decodeSyncRequest(Exchange.request().Body);
  if (!Request)
    return reject(Exchange, 400, Request.failure().message());
  if (!checkNodeName(Exchange, Request->From))
    return;
  if (PendingPolls.size() >= MaxPendingPolls)
    return reject(Exchange, 503, "too many waiting polls");
  steady_time Now = Context.now();
  readmit(*Request);
  if (Request->Role == sync_role::Child && !Children.onPoll(*Request, Now))
    return reject(Exchange, 410, "attach first");
  milliseconds Hold = Request->Role == sync_role::Child   ? ChildPollHoldTime
                      : Request->Role == sync_role::Relay ? RelayPollHoldTime
                                                          : milliseconds(0);
  pending_poll Poll{Exchange, std::move(*Request), Now + Hold};
  bool IsProbe = Poll.Request.Role == sync_role::Probe;
  Poll.Resync = !IsProbe && needsResync(Poll.Request);
  Poll.IncludeConfig = mayReceiveConfig(Poll.Request);
  if (IsProbe || Poll.Resync || hasUpdate(Poll))
    return respond(Poll);
  // The version in a held poll is outdated once its sender has activated a
  // newer one.
  if (Poll.Request.Role == sync_role::Relay &&
      !Poll.Request.PlatformUnreachable)
    Poll.IncludeConfig = false;
  PendingPolls.push_back(std::move(Poll));
}

void control_listener::respond(const pending_poll &Poll) {
  const sync_request &Request = Poll.Request;
  sync_response Response;
  Response.Update = Context.State.updateFor(effectiveRequest(Poll));
  Response.Resync = Poll.Resync;
  poller &Poller = Pollers[Request.From.Node];
  bool IsFirstPoll = Request.Cursor == log_cursor{};
  if (IsFirstPoll || Poller.SentPath != Path)
    Response.Path = Path;
  Poller.SentPath = Path;
  if (Response.Update.Cursor.Epoch == Request.Cursor.Epoch)
    Response.Update.Cursor.Epoch = 0;
  if (Context.State.configVersion() != Request.ConfigVersion)
    Response.ConfigVersion = Context.State.configVersion();
  if (Request.Role == sync_role::Child && OfferedSlot &&
      Request.From.Zone == Context.Settings.Zone) {
    Response.FreeSlot = OfferedSlot;
    OfferedSlot.reset();
  }
  net::http_response Message;
  Message.Body = wire::encode(Response);
  Poll.Exchange.reply(Message);
  if (Request.Role == sync_role::Child)
    Children.onPollAnswered(Request.From.Node, Context.now(),
                            Message.Body.size() >= LargeResponseBytes);
}

void control_listener::onUpstreamRecords(const net::http_exchange &Exchange) {
  auto Message = wire::decodeUpstreamMessage(Exchange.request().Body);
  if (!Message)
    return reject(Exchange, 400, Message.failure().message());
  if (!checkNodeName(Exchange, Message->From))
    return;
  update_outcome Outcome = Context.State.applyMembers(
      Message->Members, update_source::Subtree, Context.now());
  Exchange.reply(net::jsonResponse(200, "{}"));
  if (Outcome.MembersChanged)
    Outputs.Changed(Outcome);
}

void control_listener::onAttach(const net::http_exchange &Exchange) {
  auto From = wire::decodeAttachRequest(Exchange.request().Body);
  if (!From)
    return reject(Exchange, 400, From.failure().message());
  if (!checkNodeName(Exchange, *From))
    return;
  Exchange.reply(net::jsonResponse(
      200, wire::encode(Children.attach(*From, Path, Context.now()))));
}

void control_listener::onEvidence(const net::http_exchange &Exchange) {
  auto Evidence = wire::decodeServerEvidence(Exchange.request().Body);
  if (!Evidence)
    return reject(Exchange, 400, Evidence.failure().message());
  Outputs.Evidence(std::move(*Evidence));
  Exchange.reply(net::jsonResponse(200, "{}"));
}

void control_listener::onControllerNotice(const net::http_exchange &Exchange) {
  auto Notice = wire::decodeControllerNotice(Exchange.request().Body);
  if (!Notice)
    return reject(Exchange, 400, Notice.failure().message());
  Outputs.ControllerNotice(std::move(*Notice));
  Exchange.reply(net::jsonResponse(200, "{}"));
}

void control_listener::onRelays(const net::http_exchange &Exchange) {
  std::vector<relay_entry> Relays;
  for (const membership::member_record &Root :
       Context.State.members().rootRelays())
    Relays.push_back({Root.Node, Root.Zone, Root.ControlAddress});
  Exchange.reply(net::jsonResponse(200, wire::encode(Relays)));
}

void control_listener::setPath(std::vector<node_id> Next) {
  if (Next == Path)
    return;
  Path = std::move(Next);
  // Children receive the new path immediately, so that loops are detected
  // early.
  for (pending_poll &Poll : std::exchange(PendingPolls, {}))
    respond(Poll);
}

void control_listener::offerSlot(std::uint32_t Slot) { OfferedSlot = Slot; }

subtree_report control_listener::relayReports(const zone_name &Zone) const {
  subtree_report Sum;
  for (const auto &[Node, Poller] : Pollers)
    if (Poller.IsRelay && Poller.Relay.Zone == Zone)
      Sum.merge(Poller.Report);
  return Sum;
}

std::vector<relay_entry> control_listener::relayPollers() const {
  std::vector<relay_entry> Relays;
  for (const auto &[Node, Poller] : Pollers)
    if (Poller.IsRelay)
      Relays.push_back(Poller.Relay);
  return Relays;
}

/// Returns whether the response to a new poll may contain a configuration.
/// Other root relays read the configuration from the platform themselves. Only
/// a relay that cannot reach the platform, or that is late, needs it from this
/// node.
bool control_listener::mayReceiveConfig(const sync_request &Request) const {
  return Request.Role != sync_role::Relay || Request.PlatformUnreachable ||
         Context.now() - VersionActivatedAt >= RelayConfigDelay;
}

bool control_listener::hasUpdate(const pending_poll &Poll) const {
  return Context.State.hasUpdateFor(effectiveRequest(Poll));
}

sync_request
control_listener::effectiveRequest(const pending_poll &Poll) const {
  sync_request Request = Poll.Request;
  if (!Poll.IncludeConfig)
    Request.RefusedVersion = Context.State.configVersion();
  return Request;
}

void control_listener::onStateChanged() {
  if (Context.State.configVersion() != LastSeenVersion) {
    LastSeenVersion = Context.State.configVersion();
    VersionActivatedAt = Context.now();
  }
  if (std::exchange(FlushPending, true))
    return;
  auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastFlush);
  FlushTimer.startOnce(std::max(FlushDelay, FlushPeriod - Elapsed));
}

void control_listener::flush() {
  FlushPending = false;
  LastFlush = Context.now();
  for (auto Poll = PendingPolls.begin(); Poll != PendingPolls.end();) {
    if (!hasUpdate(*Poll)) {
      ++Poll;
      continue;
    }
    respond(*Poll);
    Poll = PendingPolls.erase(Poll);
  }
}

void control_listener::tick() {
  steady_time Now = Context.now();
  for (auto Poll = PendingPolls.begin(); Poll != PendingPolls.end();) {
    if (Now < Poll->Deadline) {
      ++Poll;
      continue;
    }
    respond(*Poll);
    Poll = PendingPolls.erase(Poll);
  }
  std::erase_if(Pollers, [Now](const auto &Entry) {
    return Now - Entry.second.LastSeen >= PollerExpiry;
  });
  for (const node_id &Node : Children.removeTimedOut(Now)) {
    logEvent(event::ChildMissing, Node.str());
    Outputs.Changed(Context.State.suspect(Node, Now));
  }
  update_outcome Expired;
  Expired.MembersChanged = Context.State.expireSuspects(Now);
  Outputs.Changed(Expired);
}

} // namespace gentianlug::node
