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

/// Changes within this time are published in one snapshot.
static constexpr milliseconds PublishDelay{5};

/// Minimum time between two snapshots. A snapshot lists up to 10,000 members,
/// and a rack restart changes hundreds of them in succession.
static constexpr milliseconds PublishPeriod{250};

static constexpr milliseconds ReportPeriod{1000};

/// A server is considered stopped after this time without an announcement.
/// Servers announce themselves every second.
static constexpr milliseconds AnnouncementTimeout{5000};

/// Maximum number of recent versions listed in the status of the node.
static constexpr std::size_t MaxRecentVersions = 16;

/// Maximum number of refusals that a node keeps and reports.
static constexpr std::size_t MaxKeptRefusals = 3;

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
      DrainRequests(Loop, [this](drain_request) { drain(); }),
      StopRequests(Loop, [this](stop_request) { leave(); }),
      Platform(Loop, Settings.Platform), Gen(seedOf(Settings)),
      Incarnation(incarnationOf(Clock.wallNow())),
      State(Settings.Node, Incarnation), Context{Loop,     Clock,      Gen,
                                                 Metrics,  Settings,   State,
                                                 Platform, Incarnation},
      Listener(Context,
               {changeHandler(), Outputs.Evidence, Outputs.ControllerNotice}),
      ParentLink(Context, parentOutputs()),
      RelayExchange(Context,
                    {changeHandler(), [this] { return report(); },
                     [this] { return RelayRole.isPlatformUnreachable(); }}),
      RelayRole(Context, relayOutputs()), SeedPeers(Context),
      StartupGate(Clock.steadyNow(), Settings.SeedPeers.size()),
      PublishTimer(Loop, [this] { publish(); }),
      ReportTimer(Loop, [this] { onReportTimer(); }),
      DrainTimer(Loop, [this] { drainReported(); }),
      LeaveTimer(Loop, [this] { this->Loop.stop(); }) {
  Snapshot.Members = std::make_shared<const std::vector<member_record>>();
}

std::function<void(const update_outcome &)>
control_task::impl::changeHandler() {
  return [this](const update_outcome &Outcome) { onChanged(Outcome); };
}

parent_link::outputs control_task::impl::parentOutputs() {
  parent_link::outputs Link;
  Link.Changed = changeHandler();
  Link.PathChanged = [this] { onPathChanged(); };
  Link.SlotFree = [this](std::uint32_t Slot) {
    RelayRole.contendForSlot(Slot);
  };
  Link.Report = [this] { return report(); };
  Link.FindRelays = [this](std::function<void(std::vector<relay_entry>)> Done) {
    findRelays(std::move(Done));
  };
  Link.OwnZoneUnresponsive = [this] { RelayRole.contendForAnySlot(); };
  Link.ParentResponded = [this](config_version Version) {
    onParentResponse(Version);
  };
  Link.UpstreamDelivered = [this] { onUpstreamDelivered(); };
  return Link;
}

relay_role::outputs control_task::impl::relayOutputs() {
  relay_role::outputs Role;
  Role.LeaseAcquired = [this] { onRelayGained(); };
  Role.LeaseLost = [this] { onRelayLost(); };
  Role.Changed = changeHandler();
  Role.SlotFree = [this](std::uint32_t Slot) { Listener.offerSlot(Slot); };
  Role.LeasesListed = [this] { exchangeWithRelays(); };
  Role.InitialReadDone = [this] { onParentResponse(State.configVersion()); };
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
  ParentLink.start();
}

update_outcome control_task::impl::membersChanged() {
  update_outcome Outcome;
  Outcome.MembersChanged = true;
  return Outcome;
}

void control_task::impl::onChanged(const update_outcome &Outcome) {
  ParentLink.sendUpstream(Outcome.RecordsForRoot);
  if (Outcome.Refusal)
    onRefused(*Outcome.Refusal);
  if (Outcome.ConfigChanged) {
    logEvent(event::ConfigInForce,
             "version " + std::to_string(State.configVersion()));
    RelayRole.onReportChanged();
  }
  if (Outcome.LiveValuesChanged)
    decodeLiveValues();
  if (!Outcome.ConfigChanged && !Outcome.LiveValuesChanged &&
      !Outcome.MembersChanged)
    return;
  Listener.onStateChanged();
  advanceStartup();
  if (Outcome.ConfigChanged || Outcome.LiveValuesChanged ||
      State.members().routingGeneration() != PublishedRoutingGeneration)
    schedulePublish();
}

void control_task::impl::schedulePublish() {
  if (std::exchange(PublishPending, true))
    return;
  auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastPublish);
  PublishTimer.startOnce(std::max(PublishDelay, PublishPeriod - Elapsed));
}

void control_task::impl::recordVersionInForce() {
  RecentVersions.emplace_back(State.configVersion(), Clock.wallNow());
  if (RecentVersions.size() > MaxRecentVersions)
    RecentVersions.pop_front();
}

void control_task::impl::onRefused(const refusal_report &Refusal) {
  logEvent(event::ConfigRefused, "version " + std::to_string(Refusal.Version) +
                                     ": " + Refusal.Reason);
  Metrics.count("gentianlug_config_refused_total");
  Refusals.push_back(Refusal);
  if (Refusals.size() > MaxKeptRefusals)
    Refusals.erase(Refusals.begin());
  RelayRole.onReportChanged();
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
  if (std::exchange(PublishedRoutingGeneration,
                    State.members().routingGeneration()) !=
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
  publishOwnRecord();
  schedulePublish();
}

void control_task::impl::expireServerAnnouncement() {
  if (Draining || !Snapshot.Server ||
      Context.now() - LastAnnouncement < AnnouncementTimeout)
    return;
  Snapshot.Server.reset();
  OwnRecord.State = member_state::NoServer;
  publishOwnRecord();
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
  return Impl->DrainRequests;
}

net::mailbox<stop_request> &control_task::stopRequests() {
  return Impl->StopRequests;
}

void control_task::onStart() { Impl->start(); }

void control_task::onStop() {}

} // namespace gentianlug::node
