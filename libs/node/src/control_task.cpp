#include "control_task_impl.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

#include <algorithm>
#include <random>

namespace gentianlug::node {

using distribution::refusal_report;
using distribution::relay_entry;
using distribution::update_outcome;
using membership::member_record;
using membership::member_state;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// Changes within this time reach the other tasks as one snapshot.
static constexpr milliseconds PublishDelay{5};

/// Least time between two snapshots. Each one lists up to 10,000 members, and
/// when a rack restarts, hundreds of them change one after the other.
static constexpr milliseconds PublishPeriod{250};

static constexpr milliseconds ReportPeriod{1000};

/// A server that did not announce itself for this time counts as gone. It
/// announces itself every second.
static constexpr milliseconds AnnouncementLimit{5000};

/// Versions whose time the status shows.
static constexpr std::size_t MaxRecent = 16;

/// Refusals that a node remembers of itself.
static constexpr std::size_t MaxOwnRefusals = 3;

static incarnation_number incarnationOf(wall_time Start) {
  return incarnation_number(
      std::chrono::duration_cast<milliseconds>(Start.time_since_epoch())
          .count());
}

static std::uint64_t seedOf(const settings::node_settings &Settings) {
  if (Settings.Seed == 0)
    return std::random_device{}();
  return Settings.Seed ^ std::hash<std::string>{}(Settings.Node.str());
}

control_task::impl::impl(net::event_loop &Loop, settings::node_settings S,
                         outputs O)
    : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
      Announcements(Loop, [this](server_announced M) { onAnnounced(M); }),
      Drains(Loop, [this](drain_request) { drain(); }),
      Stops(Loop, [this](stop_request) { leave(); }),
      Platform(Loop, Settings.Platform), Gen(seedOf(Settings)),
      Incarnation(incarnationOf(Clock.wallNow())),
      State(Settings.Node, Incarnation), Context{Loop,     Clock,      Gen,
                                                 Metrics,  Settings,   State,
                                                 Platform, Incarnation},
      Listener(Context,
               {changed(), Outputs.Evidence, Outputs.ControllerNotice}),
      Parent(Context, parentOutputs()),
      Exchange(Context, {changed(), [this] { return report(); },
                         [this] { return Relay.isPlatformUnreachable(); }}),
      Relay(Context, relayOutputs()), Seeds(Context),
      Gate(Clock.steadyNow(), Settings.SeedPeers.size()),
      PublishTimer(Loop, [this] { publish(); }),
      ReportTimer(Loop, [this] { onReportTimer(); }),
      DrainTimer(Loop, [this] { drainReported(); }),
      LeaveTimer(Loop, [this] { this->Loop.stop(); }) {
  Snapshot.Members = std::make_shared<const std::vector<member_record>>();
}

std::function<void(const update_outcome &)> control_task::impl::changed() {
  return [this](const update_outcome &Outcome) { onChanged(Outcome); };
}

parent_link::outputs control_task::impl::parentOutputs() {
  parent_link::outputs Link;
  Link.Changed = changed();
  Link.PathChanged = [this] { onPathChanged(); };
  Link.SlotFree = [this](std::uint32_t Slot) { Relay.contend(Slot); };
  Link.Report = [this] { return report(); };
  Link.FindRelays = [this](std::function<void(std::vector<relay_entry>)> Done) {
    findRelays(std::move(Done));
  };
  Link.OwnZoneUnresponsive = [this] { Relay.contendForAny(); };
  Link.Answered = [this](config_version Version) { onParentAnswered(Version); };
  Link.UpstreamDelivered = [this] { onUpstreamDelivered(); };
  return Link;
}

relay_role::outputs control_task::impl::relayOutputs() {
  relay_role::outputs Role;
  Role.LeaseAcquired = [this] { onRelayGained(); };
  Role.LeaseLost = [this] { onRelayLost(); };
  Role.Changed = changed();
  Role.SlotFree = [this](std::uint32_t Slot) { Listener.offerSlot(Slot); };
  Role.Listed = [this] { exchangeWithRelays(); };
  Role.InitialReadDone = [this] { onParentAnswered(State.configVersion()); };
  Role.Report = [this] { return zoneReport(); };
  return Role;
}

void control_task::impl::start() {
  OwnRecord.Node = Settings.Node;
  OwnRecord.Zone = Settings.Zone;
  OwnRecord.PeerAddress = Settings.PeerAddress;
  OwnRecord.ControlAddress = Settings.ControlListen;
  OwnRecord.Incarnation = Incarnation;
  ReportTimer.startEvery(ReportPeriod);
  reportStatus();
  Parent.start();
}

update_outcome control_task::impl::membersChanged() {
  update_outcome Outcome;
  Outcome.MembersChanged = true;
  return Outcome;
}

void control_task::impl::onChanged(const update_outcome &Outcome) {
  Parent.sendUpstream(Outcome.RecordsForRoot);
  if (Outcome.Refusal)
    onRefused(*Outcome.Refusal);
  if (Outcome.ConfigChanged) {
    logEvent(event::ConfigInForce,
             "version " + std::to_string(State.configVersion()));
    Relay.onReportChanged();
  }
  if (Outcome.LiveChanged)
    decodeLiveValues();
  if (!Outcome.ConfigChanged && !Outcome.LiveChanged && !Outcome.MembersChanged)
    return;
  Listener.onStateChanged();
  startup();
  if (Outcome.ConfigChanged || Outcome.LiveChanged ||
      State.members().routingGeneration() != PublishedMembers)
    schedulePublish();
}

void control_task::impl::schedulePublish() {
  if (std::exchange(PublishPending, true))
    return;
  auto Since =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastPublish);
  PublishTimer.startOnce(std::max(PublishDelay, PublishPeriod - Since));
}

void control_task::impl::recordVersionInForce() {
  RecentVersions.emplace_back(State.configVersion(), Clock.wallNow());
  if (RecentVersions.size() > MaxRecent)
    RecentVersions.pop_front();
}

void control_task::impl::onRefused(const refusal_report &Refusal) {
  logEvent(event::ConfigRefused, "version " + std::to_string(Refusal.Version) +
                                     ": " + Refusal.Reason);
  Metrics.count("gentianlug_config_refused_total");
  Refusals.push_back(Refusal);
  if (Refusals.size() > MaxOwnRefusals)
    Refusals.erase(Refusals.begin());
  Relay.onReportChanged();
}

void control_task::impl::decodeLiveValues() {
  for (const auto &[Key, Value] : State.liveValues()) {
    if (Key == store::ZonesKey)
      decodeZones(Value);
    else if (Key.starts_with(store::RolloutPrefix))
      decodeRollout(Key, Value);
  }
}

void control_task::impl::rejectLiveValue(const std::string &Key,
                                         const error &Reason) {
  logEvent(event::LiveValueRefused, Key + ": " + Reason.message());
  Metrics.count("gentianlug_live_values_refused_total");
}

void control_task::impl::decodeZones(const distribution::live_value &Value) {
  if (!Value.Text)
    return Snapshot.ZonesOutOfService.clear();
  auto Zones = wire::decodeZoneState(*Value.Text);
  if (!Zones)
    return rejectLiveValue(Value.Key, Zones.failure());
  Snapshot.ZonesOutOfService = std::move(Zones->OutOfService);
}

void control_task::impl::decodeRollout(const std::string &Key,
                                       const distribution::live_value &Value) {
  service_name Service(
      Key.substr(std::string_view(store::RolloutPrefix).size()));
  if (!Value.Text) {
    Snapshot.Rollouts.erase(Service);
    return;
  }
  auto Rollout = wire::decodeRolloutState(*Value.Text);
  if (!Rollout)
    return rejectLiveValue(Key, Rollout.failure());
  Snapshot.Rollouts[Service] = std::move(*Rollout);
}

void control_task::impl::publish() {
  PublishPending = false;
  LastPublish = Context.now();
  if (Serving && Snapshot.Configuration != State.configuration())
    recordVersionInForce();
  if (Serving)
    Snapshot.Configuration = State.configuration();
  if (std::exchange(PublishedMembers, State.members().routingGeneration()) !=
      State.members().routingGeneration())
    Snapshot.Members = std::make_shared<const std::vector<member_record>>(
        State.members().routableMembers());
  Outputs.Routing(std::make_shared<const routing_snapshot>(Snapshot));
  reportStatus();
}

void control_task::impl::onAnnounced(const server_announced &Message) {
  LastAnnouncement = Context.now();
  if (Snapshot.Server == Message.Announcement)
    return;
  const wire::server_announcement &Server = Message.Announcement;
  Snapshot.Server = Server;
  logEvent(event::ServerAnnounced, Server.Service.str() + " " +
                                       Server.Version.str() + " at " +
                                       Server.Address.str());
  OwnRecord.Service = Server.Service;
  OwnRecord.Version = Server.Version;
  OwnRecord.Slots = Server.Slots;
  OwnRecord.ServerIncarnation = Server.Incarnation;
  if (!Draining)
    OwnRecord.State =
        Server.Draining ? member_state::Draining : member_state::Serving;
  publishOwn();
  schedulePublish();
}

void control_task::impl::checkServer() {
  if (Draining || !Snapshot.Server ||
      Context.now() - LastAnnouncement < AnnouncementLimit)
    return;
  Snapshot.Server.reset();
  OwnRecord.State = member_state::NoServer;
  publishOwn();
  schedulePublish();
}

control_task::control_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

control_task::~control_task() { join(); }

result<void> control_task::listen() { return Impl->Listener.listen(); }

net::mailbox<server_announced> &control_task::announcements() {
  return Impl->Announcements;
}

net::mailbox<drain_request> &control_task::drainRequests() {
  return Impl->Drains;
}

net::mailbox<stop_request> &control_task::stopRequests() { return Impl->Stops; }

void control_task::onStart() { Impl->start(); }

void control_task::onStop() {}

} // namespace gentianlug::node
