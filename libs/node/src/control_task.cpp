#include "gentianlug/node/control_task.h"

#include "control_context.h"
#include "control_listener.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/platform/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"
#include "parent_link.h"
#include "relay_exchange.h"
#include "relay_role.h"
#include "seed_peers.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

namespace gentianlug::node {

using distribution::refusal_report;
using distribution::relay_entry;
using distribution::tree_report;
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

/// Bounds of a planned stop: of the report toward the root, of the answers to
/// the children of a root relay, and of the last record with the release of
/// the relay lease.
static constexpr milliseconds DrainReportLimit{1000};
static constexpr milliseconds RootDrainDelay{100};
static constexpr milliseconds LeaveDelay{100};

/// Versions whose time the status shows.
static constexpr std::size_t MaxRecent = 16;

/// Reports between two tries to return to the own zone.
static constexpr unsigned ReturnRounds = 5;

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

struct control_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  net::mailbox<server_announced> Announcements;
  net::mailbox<drain_request> Drains;
  net::mailbox<stop_request> Stops;
  net::platform_client Platform;
  system_clock Clock;
  generator Gen;
  observe::metric_set Metrics;
  incarnation_number Incarnation;
  distribution::node_state State;
  control_context Context;
  control_listener Listener;
  parent_link Parent;
  relay_exchange Exchange;
  relay_role Relay;
  seed_peers Seeds;
  distribution::startup_gate Gate;
  net::timer PublishTimer;
  net::timer ReportTimer;
  net::timer DrainTimer;
  net::timer LeaveTimer;
  bool PublishPending = false;
  steady_time LastPublish{};
  /// Generation of the members in the last snapshot.
  std::uint64_t PublishedMembers = 0;
  /// Whether the startup gate has opened.
  bool Serving = false;
  routing_snapshot Snapshot;
  steady_time LastAnnouncement{};
  member_record Own;
  std::vector<refusal_report> Refusals;
  /// When the last versions came into force, oldest first.
  std::deque<std::pair<config_version, wall_time>> Recent;
  /// Whether the last search trusted the seed peers. A search that follows it
  /// found their relays silent and asks the platform.
  bool SeedsTrusted = false;
  unsigned Rounds = 0;
  bool Draining = false;
  bool DrainPosted = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Announcements(Loop, [this](server_announced M) { onAnnounced(M); }),
        Drains(Loop, [this](drain_request) { drain(); }),
        Stops(Loop, [this](stop_request) { leave(); }),
        Platform(Loop, Settings.Platform), Gen(seedOf(Settings)),
        Incarnation(incarnationOf(Clock.wallNow())),
        State(Settings.Node, Incarnation), Context{Loop,     Clock,      Gen,
                                                   Metrics,  Settings,   State,
                                                   Platform, Incarnation},
        Listener(Context, {changed(), Outputs.Evidence, Outputs.Steering}),
        Parent(Context, parentOutputs()),
        Exchange(Context, {changed(), [this] { return report(); },
                           [this] { return Relay.isCut(); }}),
        Relay(Context, relayOutputs()), Seeds(Context),
        Gate(Clock.steadyNow(), Settings.SeedPeers.size()),
        PublishTimer(Loop, [this] { publish(); }),
        ReportTimer(Loop, [this] { onReportTimer(); }),
        DrainTimer(Loop, [this] { drainReported(); }),
        LeaveTimer(Loop, [this] { this->Loop.stop(); }) {
    Snapshot.Members = std::make_shared<const std::vector<member_record>>();
  }

  std::function<void(const update_outcome &)> changed() {
    return [this](const update_outcome &Outcome) { onChanged(Outcome); };
  }

  parent_link::outputs parentOutputs() {
    parent_link::outputs Link;
    Link.Changed = changed();
    Link.PathChanged = [this] { onPathChanged(); };
    Link.SlotFree = [this](std::uint32_t Slot) { Relay.contend(Slot); };
    Link.Report = [this] { return report(); };
    Link.FindRelays =
        [this](std::function<void(std::vector<relay_entry>)> Done) {
          findRelays(std::move(Done));
        };
    Link.OwnZoneSilent = [this] { Relay.contendForAny(); };
    Link.Answered = [this](config_version Version) {
      onParentAnswered(Version);
    };
    Link.UpTaken = [this] { onUpTaken(); };
    return Link;
  }

  relay_role::outputs relayOutputs() {
    relay_role::outputs Role;
    Role.Gained = [this] { onRelayGained(); };
    Role.Lost = [this] { onRelayLost(); };
    Role.Changed = changed();
    Role.SlotFree = [this](std::uint32_t Slot) { Listener.offerSlot(Slot); };
    Role.Listed = [this] { exchangeWithRelays(); };
    Role.Read = [this] { onParentAnswered(State.version()); };
    Role.Report = [this] { return zoneReport(); };
    return Role;
  }

  void start() {
    Own.Node = Settings.Node;
    Own.Zone = Settings.Zone;
    Own.PeerAddress = Settings.PeerAddress;
    Own.ControlAddress = Settings.ControlListen;
    Own.Incarnation = Incarnation;
    ReportTimer.startEvery(ReportPeriod);
    reportStatus();
    Parent.start();
  }

  // The tree.

  /// Asks seed peers first: the platform is asked only when they know no relay
  /// of the zone, so that a storm of starting nodes does not reach it.
  void findRelays(std::function<void(std::vector<relay_entry>)> Done) {
    Seeds.findRelays(
        [this, Done = std::move(Done)](std::vector<relay_entry> Known) {
          std::erase_if(Known, [this](const relay_entry &Relay) {
            return Relay.Node == Settings.Node;
          });
          bool OwnZone = std::any_of(Known.begin(), Known.end(),
                                     [this](const relay_entry &Relay) {
                                       return Relay.Zone == Settings.Zone;
                                     });
          if (OwnZone && !std::exchange(SeedsTrusted, true))
            return Done(std::move(Known));
          SeedsTrusted = false;
          askPlatform(std::move(Known), Done);
        });
  }

  void askPlatform(std::vector<relay_entry> Known,
                   const std::function<void(std::vector<relay_entry>)> &Done) {
    Relay.findRelays([this, Known = std::move(Known),
                      Done](const result<std::vector<relay_entry>> &Relays) {
      std::vector<relay_entry> Found = Relays ? *Relays : Known;
      if (!Relays)
        for (const member_record &Root : State.members().roots())
          Found.push_back({Root.Node, Root.Zone, Root.ControlAddress});
      Done(std::move(Found));
    });
  }

  void onPathChanged() {
    if (Relay.isRoot())
      return;
    std::vector<node_id> Path = Parent.parentPath();
    node_id NewParent = Path.empty() ? node_id() : Path.back();
    if (!Path.empty())
      Path.push_back(Settings.Node);
    Listener.setPath(std::move(Path));
    if (NewParent.empty() || NewParent == Own.Parent)
      return;
    Own.Parent = NewParent;
    publishOwn();
  }

  void onRelayGained() {
    Parent.stop();
    Own.Parent = node_id();
    Listener.setPath({Settings.Node});
    publishOwn();
  }

  void onRelayLost() {
    Listener.setPath({});
    Exchange.setRelays({});
    Parent.start();
  }

  /// Publishes the own record, once this node has a place in the tree.
  void publishOwn() {
    if (Own.Parent.empty() && !Relay.isRoot())
      return;
    State.setOwn(Own, Context.now());
    onChanged(membersChanged());
    Parent.sendUp({*State.members().find(Settings.Node)});
  }

  void onParentAnswered(config_version Version) {
    SeedsTrusted = false;
    Gate.onParentAnswered(Version);
    startup();
  }

  /// Takes the next step until this node may serve.
  void startup() {
    if (Serving)
      return;
    if (Gate.wantsProbes(Context.now())) {
      Gate.onProbesSent();
      Seeds.probe([this](std::optional<distribution::sync_response> Response) {
        onProbed(Response);
      });
    }
    if (!Gate.open(State.version()))
      return;
    Serving = true;
    logEvent(event::ServingStarted,
             "version " + std::to_string(State.version()));
    schedulePublish();
  }

  void onProbed(const std::optional<distribution::sync_response> &Response) {
    if (!Response)
      Gate.onProbeFailed();
    else
      Gate.onProbeAnswered(Response->Version);
    if (Response)
      onChanged(State.apply(Response->Update,
                            distribution::update_source::Above, Context.now()));
    startup();
  }

  /// Polls the relays of the listing and those that poll this one.
  void exchangeWithRelays() {
    if (!Relay.isRoot())
      return;
    std::vector<relay_entry> Relays = Relay.relays();
    for (const relay_entry &Poller : Listener.relayPollers())
      if (!isAmong(Relays, Poller.Node))
        Relays.push_back(Poller);
    Exchange.setRelays(Relays);
  }

  static bool isAmong(const std::vector<relay_entry> &Relays,
                      const node_id &Node) {
    return std::any_of(
        Relays.begin(), Relays.end(),
        [&](const relay_entry &Relay) { return Relay.Node == Node; });
  }

  /// Suspects nodes that died together with the relay that watched them.
  void checkOrphans() {
    std::vector<relay_entry> Roots = Relay.relays();
    for (const relay_entry &Poller : Listener.relayPollers())
      Roots.push_back(Poller);
    bool IsRoot = Relay.isRoot();
    bool Changed = State.suspectOrphans(
        Context.now(),
        [this](const node_id &Node) {
          return Listener.children().isLiveChild(Node);
        },
        // Only a root relay knows the others.
        [&](const node_id &Node) { return !IsRoot || isAmong(Roots, Node); });
    if (Changed)
      onChanged(membersChanged());
  }

  /// A node below a relay of another zone goes back once its own zone has one,
  /// or tries to become one.
  void returnToOwnZone() {
    const std::vector<node_id> &Path = Parent.parentPath();
    if (Path.empty())
      return;
    const member_record *Root = State.members().find(Path.front());
    if (!Root || Root->Zone == Settings.Zone)
      return;
    std::vector<relay_entry> Own;
    for (const member_record &Relay : State.members().roots())
      if (Relay.Zone == Settings.Zone && Relay.Node != Settings.Node)
        Own.push_back({Relay.Node, Relay.Zone, Relay.ControlAddress});
    // About two nodes of a zone try in each period, whatever its size.
    double Chance = 2.0 / double(std::max<std::size_t>(zoneSize(), 2));
    if (!Own.empty())
      Parent.move(Own);
    else if (drawChance(Gen, Chance))
      Relay.contendForAny();
  }

  std::size_t zoneSize() const {
    std::size_t Size = 0;
    State.members().forEach([&](const member_record &Record) {
      Size += Record.Zone == Settings.Zone ? 1 : 0;
    });
    return Size;
  }

  // The end.

  void drain() {
    Draining = true;
    Own.State = member_state::Draining;
    DrainTimer.startOnce(Parent.attached() ? DrainReportLimit : RootDrainDelay);
    publishOwn();
  }

  void onUpTaken() {
    if (Draining)
      drainReported();
  }

  void drainReported() {
    if (!std::exchange(DrainPosted, true))
      Outputs.DrainReported();
  }

  /// Publishes that this node is gone and frees its relay lease.
  void leave() {
    Own.State = member_state::Left;
    publishOwn();
    Relay.release();
    LeaveTimer.startOnce(LeaveDelay);
  }

  // Changes of the state.

  static update_outcome membersChanged() {
    update_outcome Outcome;
    Outcome.MembersChanged = true;
    return Outcome;
  }

  void onChanged(const update_outcome &Outcome) {
    Parent.sendUp(Outcome.Missing);
    if (Outcome.Refusal)
      onRefused(*Outcome.Refusal);
    if (Outcome.ConfigChanged) {
      logEvent(event::ConfigInForce,
               "version " + std::to_string(State.version()));
      Relay.onReportChanged();
    }
    if (Outcome.LiveChanged)
      decodeLive();
    if (!Outcome.ConfigChanged && !Outcome.LiveChanged &&
        !Outcome.MembersChanged)
      return;
    Listener.onStateChanged();
    startup();
    if (Outcome.ConfigChanged || Outcome.LiveChanged ||
        State.members().routingGeneration() != PublishedMembers)
      schedulePublish();
  }

  void schedulePublish() {
    if (std::exchange(PublishPending, true))
      return;
    auto Since =
        std::chrono::duration_cast<milliseconds>(Context.now() - LastPublish);
    PublishTimer.startOnce(std::max(PublishDelay, PublishPeriod - Since));
  }

  void noteInForce() {
    Recent.emplace_back(State.version(), Clock.wallNow());
    if (Recent.size() > MaxRecent)
      Recent.pop_front();
  }

  void onRefused(const refusal_report &Refusal) {
    logEvent(event::ConfigRefused, "version " +
                                       std::to_string(Refusal.Version) + ": " +
                                       Refusal.Reason);
    Metrics.count("gentianlug_config_refused_total");
    Refusals.push_back(Refusal);
    if (Refusals.size() > MaxOwnRefusals)
      Refusals.erase(Refusals.begin());
    Relay.onReportChanged();
  }

  void decodeLive() {
    for (const auto &[Key, Value] : State.live()) {
      if (Key == platform::ZonesKey)
        decodeZones(Value);
      else if (Key.starts_with(platform::RolloutPrefix))
        decodeRollout(Key, Value);
    }
  }

  void refuseLive(const std::string &Key, const error &Reason) {
    logEvent(event::LiveValueRefused, Key + ": " + Reason.message());
    Metrics.count("gentianlug_live_values_refused_total");
  }

  void decodeZones(const distribution::live_value &Value) {
    if (!Value.Text)
      return Snapshot.ZonesOut.clear();
    auto Zones = wire::decodeZoneState(*Value.Text);
    if (!Zones)
      return refuseLive(Value.Key, Zones.failure());
    Snapshot.ZonesOut = std::move(Zones->Out);
  }

  void decodeRollout(const std::string &Key,
                     const distribution::live_value &Value) {
    service_name Service(
        Key.substr(std::string_view(platform::RolloutPrefix).size()));
    if (!Value.Text) {
      Snapshot.Rollouts.erase(Service);
      return;
    }
    auto Rollout = wire::decodeRolloutState(*Value.Text);
    if (!Rollout)
      return refuseLive(Key, Rollout.failure());
    Snapshot.Rollouts[Service] = std::move(*Rollout);
  }

  void publish() {
    PublishPending = false;
    LastPublish = Context.now();
    if (Serving && Snapshot.Configuration != State.configuration())
      noteInForce();
    if (Serving)
      Snapshot.Configuration = State.configuration();
    if (std::exchange(PublishedMembers, State.members().routingGeneration()) !=
        State.members().routingGeneration())
      Snapshot.Members = std::make_shared<const std::vector<member_record>>(
          State.members().serving());
    Outputs.Routing(std::make_shared<const routing_snapshot>(Snapshot));
    Outputs.Rollouts({Snapshot.Configuration, Snapshot.Rollouts});
    reportStatus();
  }

  // The local server.

  void onAnnounced(const server_announced &Message) {
    LastAnnouncement = Context.now();
    if (Snapshot.Server == Message.Announcement)
      return;
    const wire::server_announcement &Server = Message.Announcement;
    Snapshot.Server = Server;
    logEvent(event::ServerAnnounced, Server.Service.str() + " " +
                                         Server.Version.str() + " at " +
                                         Server.Address.str());
    Own.Service = Server.Service;
    Own.Version = Server.Version;
    Own.Slots = Server.Slots;
    Own.ServerIncarnation = Server.Incarnation;
    if (!Draining)
      Own.State =
          Server.Draining ? member_state::Draining : member_state::Serving;
    publishOwn();
    schedulePublish();
  }

  void checkServer() {
    if (Draining || !Snapshot.Server ||
        Context.now() - LastAnnouncement < AnnouncementLimit)
      return;
    Snapshot.Server.reset();
    Own.State = member_state::NoServer;
    publishOwn();
    schedulePublish();
  }

  // Reports.

  tree_report ownReport() const {
    tree_report Report;
    Report.NodesByVersion[State.version()] = 1;
    Report.Refusals = Refusals;
    return Report;
  }

  /// Returns the report of this node and all nodes below it.
  tree_report report() const {
    tree_report Report = ownReport();
    Report.merge(Listener.report());
    return Report;
  }

  /// Returns the report of all relays of the zone.
  tree_report zoneReport() const {
    tree_report Report = report();
    Report.merge(Listener.relayReports(Settings.Zone));
    return Report;
  }

  void onReportTimer() {
    checkServer();
    if (Relay.isRoot()) {
      exchangeWithRelays();
      Relay.onReportChanged();
    } else if (++Rounds % ReturnRounds == 0) {
      returnToOwnZone();
    }
    if (Listener.children().size() > 0 || Relay.isRoot())
      checkOrphans();
    startup();
    reportStatus();
  }

  static std::chrono::nanoseconds threadTime() {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return std::chrono::seconds(Time.tv_sec) +
           std::chrono::nanoseconds(Time.tv_nsec);
  }

  void measure() {
    Metrics.gauge("gentianlug_config_version", double(State.version()));
    Metrics.gauge("gentianlug_members", double(State.members().size()));
    Metrics.gauge("gentianlug_children", double(Listener.children().size()));
    Metrics.gauge("gentianlug_control_bytes_total",
                  double(Listener.bytes() + Parent.bytes() + Exchange.bytes() +
                         Seeds.bytes()));
    Metrics.gauge("gentianlug_resident_bytes", residentBytes());
    Metrics.gauge("gentianlug_control_cpu_seconds_total",
                  std::chrono::duration<double>(threadTime()).count());
  }

  static std::int64_t toMillis(wall_time Time) {
    return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
        .count();
  }

  nlohmann::json recentToJson() const {
    nlohmann::json Versions = nlohmann::json::array();
    for (const auto &[Version, At] : Recent)
      Versions.push_back(
          {{"version", Version}, {"in_force_at_ms", toMillis(At)}});
    return Versions;
  }

  static double residentBytes() {
    std::ifstream File("/proc/self/statm");
    double Total = 0;
    double Resident = 0;
    File >> Total >> Resident;
    return Resident * double(sysconf(_SC_PAGESIZE));
  }

  void reportStatus() {
    measure();
    task_report Report;
    Report.Task = "control";
    Report.Metrics = Metrics.render();
    Report.StatusJson = nlohmann::json{
        {"node", Settings.Node.str()},
        {"availability_zone", Settings.Zone.str()},
        {"config_version", State.version()},
        {"in_force_at_ms", Recent.empty() ? 0 : toMillis(Recent.back().second)},
        {"recent", recentToJson()},
        {"served_version",
         Snapshot.Configuration ? Snapshot.Configuration->Version : 0},
        {"members", State.members().size()},
        {"live_members", State.members().liveCount()},
        {"zones_out", Snapshot.ZonesOut.size()},
        {"rollouts", Snapshot.Rollouts.size()},
        {"parent", Own.Parent.str()},
        {"root_relay",
         Relay.isRoot()}}.dump();
    Report.Sentences.push_back(
        State.version() == 0
            ? "No configuration is in force on this node yet."
            : "Configuration version " + std::to_string(State.version()) +
                  " is in force on this node.");
    Outputs.Report(std::move(Report));
  }
};

control_task::control_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

control_task::~control_task() { join(); }

result<void> control_task::listen() { return Impl->Listener.listen(); }

net::mailbox<server_announced> &control_task::announcements() {
  return Impl->Announcements;
}

net::mailbox<drain_request> &control_task::drains() { return Impl->Drains; }

net::mailbox<stop_request> &control_task::stops() { return Impl->Stops; }

void control_task::onStart() { Impl->start(); }

void control_task::onStop() {}

} // namespace gentianlug::node
