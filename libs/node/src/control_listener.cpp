#include "control_listener.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/wire/control_messages.h"
#include "gentianlug/wire/rollout_values.h"

namespace gentianlug::node {

using namespace distribution;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// How long a parent holds a poll of a child without news.
static constexpr milliseconds ChildHold{1000};

/// How long a root relay holds a poll of another one.
static constexpr milliseconds RelayHold{3000};

/// Changes within this time travel in one answer.
static constexpr milliseconds FlushDelay{20};

/// Least time between two rounds of answers, for changes that come in rows.
static constexpr milliseconds FlushPeriod{100};

/// How long the other root relays have to read a version from the platform.
/// One that reads it late, without an error, gets the version from here.
static constexpr milliseconds RelayConfigDelay{1000};

/// An answer of this size takes a child some time to read.
static constexpr std::size_t LargeAnswerBytes = 100 << 10;

/// Resolution of holds and of the detection of missing children.
static constexpr milliseconds TickPeriod{200};

/// Polls that wait at a time: children, other root relays, and room for nodes
/// that change their parent. Further polls are refused.
static constexpr std::size_t MaxWaitingPolls = 256;

/// A peer without a poll for this time is forgotten.
static constexpr milliseconds PollerMemory{10000};

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

void control_listener::refuse(const net::http_exchange &Exchange, int Status,
                              const std::string &Reason) {
  logEvent(event::BadRequest, Exchange.request().Target + ": " + Reason);
  Context.Metrics.count("gentianlug_control_refused_total{status=\"" +
                        std::to_string(Status) + "\"}");
  Exchange.reply(net::errorResponse(Status, Reason));
}

void control_listener::onRequest(const net::http_exchange &Exchange) {
  const net::http_request &Request = Exchange.request();
  std::string_view Path = net::pathOf(Request.Target);
  bool Post = Request.Method == "POST";
  if (Path == "/v1/sync" && Post)
    return onSync(Exchange);
  if (Path == "/v1/up" && Post)
    return onUpstreamRecords(Exchange);
  if (Path == "/v1/attach" && Post)
    return onAttach(Exchange);
  if (Path == "/v1/evidence" && Post)
    return onEvidence(Exchange);
  if (Path == "/v1/steering" && Post)
    return onControllerNotice(Exchange);
  if (Path == "/v1/relays")
    return onRelays(Exchange);
  refuse(Exchange, 404, "unknown path");
}

/// A node may use a name only from the address that the live owner of the name
/// has, so that two nodes cannot overwrite each other's records.
bool control_listener::checkName(const net::http_exchange &Exchange,
                                 const peer_identity &From) {
  const membership::member_record *Known =
      Context.State.members().find(From.Node);
  bool Live = Known && Known->State != membership::member_state::Suspect &&
              Known->State != membership::member_state::Left;
  if (From.Node != Context.Settings.Node &&
      (!Live || From.ControlAddress.Host.empty() ||
       Known->ControlAddress == From.ControlAddress))
    return true;
  refuse(Exchange, 409,
         "the name " + From.Node.str() + " belongs to another live node");
  return false;
}

/// A child that was removed for a late poll comes back with its next one and
/// keeps its cursor; only when its place is taken must it attach again.
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
  bool Same = Request.MemberDigest == Poller.Digest && Own == Poller.OwnDigest;
  bool Differs =
      UpToDate && Request.MemberDigest != 0 && Request.MemberDigest != Own;
  Poller.Differing = Differs && Same ? Poller.Differing + 1 : 0;
  Poller.Digest = Request.MemberDigest;
  Poller.OwnDigest = Own;
  Poller.LastSeen = Context.now();
  if (!Request.From.ControlAddress.Host.empty())
    Poller.Relay = {Request.From.Node, Request.From.Zone,
                    Request.From.ControlAddress};
  Poller.IsRelay = Request.Role == sync_role::Relay;
  if (Request.Report)
    Poller.Report = *Request.Report;
  if (Poller.Differing < DigestMismatchesBeforeResync)
    return false;
  Poller.Differing = 0;
  Context.Metrics.count("gentianlug_control_repairs_total");
  return true;
}

void control_listener::onSync(const net::http_exchange &Exchange) {
  auto Request = wire::decodeSyncRequest(Exchange.request().Body);
  if (!Request)
    return refuse(Exchange, 400, Request.failure().message());
  if (!checkName(Exchange, Request->From))
    return;
  if (Polls.size() >= MaxWaitingPolls)
    return refuse(Exchange, 503, "too many waiting polls");
  steady_time Now = Context.now();
  readmit(*Request);
  if (Request->Role == sync_role::Child && !Children.onPoll(*Request, Now))
    return refuse(Exchange, 410, "attach first");
  milliseconds Hold = Request->Role == sync_role::Child   ? ChildHold
                      : Request->Role == sync_role::Relay ? RelayHold
                                                          : milliseconds(0);
  pending_poll Poll{Exchange, std::move(*Request), Now + Hold};
  bool Probe = Poll.Request.Role == sync_role::Probe;
  Poll.Resync = !Probe && needsResync(Poll.Request);
  Poll.WithConfig = mayGetConfig(Poll.Request);
  if (Probe || Poll.Resync || isDue(Poll))
    return answer(Poll);
  // A held poll names a version that its sender has replaced meanwhile.
  if (Poll.Request.Role == sync_role::Relay &&
      !Poll.Request.PlatformUnreachable)
    Poll.WithConfig = false;
  Polls.push_back(std::move(Poll));
}

void control_listener::answer(const pending_poll &Poll) {
  const sync_request &Request = Poll.Request;
  sync_response Response;
  Response.Update = Context.State.updateFor(requestOf(Poll));
  Response.Resync = Poll.Resync;
  poller &Poller = Pollers[Request.From.Node];
  bool First = Request.Cursor == log_cursor{};
  if (First || Poller.SentPath != Path)
    Response.Path = Path;
  Poller.SentPath = Path;
  if (Response.Update.Cursor.Epoch == Request.Cursor.Epoch)
    Response.Update.Cursor.Epoch = 0;
  if (Context.State.configVersion() != Request.ConfigVersion)
    Response.ConfigVersion = Context.State.configVersion();
  if (Request.Role == sync_role::Child && FreeSlot &&
      Request.From.Zone == Context.Settings.Zone) {
    Response.FreeSlot = FreeSlot;
    FreeSlot.reset();
  }
  net::http_response Message;
  Message.Body = wire::encode(Response);
  Poll.Exchange.reply(Message);
  if (Request.Role == sync_role::Child)
    Children.onPollAnswered(Request.From.Node, Context.now(),
                            Message.Body.size() >= LargeAnswerBytes);
}

void control_listener::onUpstreamRecords(const net::http_exchange &Exchange) {
  auto Message = wire::decodeUpMessage(Exchange.request().Body);
  if (!Message)
    return refuse(Exchange, 400, Message.failure().message());
  if (!checkName(Exchange, Message->From))
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
    return refuse(Exchange, 400, From.failure().message());
  if (!checkName(Exchange, *From))
    return;
  Exchange.reply(net::jsonResponse(
      200, wire::encode(Children.attach(*From, Path, Context.now()))));
}

void control_listener::onEvidence(const net::http_exchange &Exchange) {
  auto Evidence = wire::decodeServerEvidence(Exchange.request().Body);
  if (!Evidence)
    return refuse(Exchange, 400, Evidence.failure().message());
  Outputs.Evidence(std::move(*Evidence));
  Exchange.reply(net::jsonResponse(200, "{}"));
}

void control_listener::onControllerNotice(const net::http_exchange &Exchange) {
  auto Notice = wire::decodeSteeringNotice(Exchange.request().Body);
  if (!Notice)
    return refuse(Exchange, 400, Notice.failure().message());
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
  // Children learn of the new path at once, so that a loop is found early.
  for (pending_poll &Poll : std::exchange(Polls, {}))
    answer(Poll);
}

void control_listener::offerSlot(std::uint32_t Slot) { FreeSlot = Slot; }

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

/// Returns whether a poll that has just arrived may get a configuration. Other
/// root relays read the platform at the same time; only one that does not reach
/// it, or reads late, needs the configuration from here.
bool control_listener::mayGetConfig(const sync_request &Request) const {
  return Request.Role != sync_role::Relay || Request.PlatformUnreachable ||
         Context.now() - VersionSince >= RelayConfigDelay;
}

bool control_listener::isDue(const pending_poll &Poll) const {
  return Context.State.hasUpdateFor(requestOf(Poll));
}

sync_request control_listener::requestOf(const pending_poll &Poll) const {
  sync_request Request = Poll.Request;
  if (!Poll.WithConfig)
    Request.RefusedVersion = Context.State.configVersion();
  return Request;
}

void control_listener::onStateChanged() {
  if (Context.State.configVersion() != SeenVersion) {
    SeenVersion = Context.State.configVersion();
    VersionSince = Context.now();
  }
  if (std::exchange(FlushPending, true))
    return;
  auto Since =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastFlush);
  FlushTimer.startOnce(std::max(FlushDelay, FlushPeriod - Since));
}

void control_listener::flush() {
  FlushPending = false;
  LastFlush = Context.now();
  for (auto Poll = Polls.begin(); Poll != Polls.end();) {
    if (!isDue(*Poll)) {
      ++Poll;
      continue;
    }
    answer(*Poll);
    Poll = Polls.erase(Poll);
  }
}

void control_listener::tick() {
  steady_time Now = Context.now();
  for (auto Poll = Polls.begin(); Poll != Polls.end();) {
    if (Now < Poll->Deadline) {
      ++Poll;
      continue;
    }
    answer(*Poll);
    Poll = Polls.erase(Poll);
  }
  std::erase_if(Pollers, [Now](const auto &Entry) {
    return Now - Entry.second.LastSeen >= PollerMemory;
  });
  for (const node_id &Node : Children.removeMissing(Now)) {
    logEvent(event::ChildMissing, Node.str());
    Outputs.Changed(Context.State.suspect(Node, Now));
  }
  update_outcome Expired;
  Expired.MembersChanged = Context.State.expireSuspects(Now);
  Outputs.Changed(Expired);
}

} // namespace gentianlug::node
