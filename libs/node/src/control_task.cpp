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

#include <ctime>
#include <nlohmann/json.hpp>
#include <random>

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
static constexpr milliseconds ReportPeriod{1000};

/// A server that did not announce itself for this time counts as gone. It
/// announces itself every second.
static constexpr milliseconds AnnouncementLimit{5000};

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
  net::timer PublishTimer;
  net::timer ReportTimer;
  bool PublishPending = false;
  routing_snapshot Snapshot;
  steady_time LastAnnouncement{};
  member_record Own;
  std::vector<refusal_report> Refusals;
  wall_time InForceAt;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Announcements(Loop, [this](server_announced M) { onAnnounced(M); }),
        Stops(Loop, [this](stop_request) { this->Loop.stop(); }),
        Platform(Loop, Settings.Platform), Gen(seedOf(Settings)),
        Incarnation(incarnationOf(Clock.wallNow())),
        State(Settings.Node, Incarnation), Context{Loop,     Clock,      Gen,
                                                   Metrics,  Settings,   State,
                                                   Platform, Incarnation},
        Listener(Context, {[this](const update_outcome &Outcome) {
                             onChanged(Outcome, false);
                           },
                           Outputs.Evidence, Outputs.Steering}),
        Parent(Context,
               {[this](const update_outcome &Outcome) {
                  onChanged(Outcome, true);
                },
                [this] { onPathChanged(); },
                [this](std::uint32_t Slot) { Relay.contend(Slot); },
                [this] { return report(); },
                [this](std::function<void(std::vector<relay_entry>)> Done) {
                  findRelays(std::move(Done));
                },
                [this] { Relay.contendForAny(); }}),
        Exchange(Context, {[this](const update_outcome &Outcome) {
                             onChanged(Outcome, true);
                           },
                           [this] { return report(); }}),
        Relay(Context,
              {[this] { onRelayGained(); }, [this] { onRelayLost(); },
               [this](const update_outcome &Outcome) {
                 onChanged(Outcome, true);
               },
               [this](std::uint32_t Slot) { Listener.offerSlot(Slot); }, [] {},
               [this] { return zoneReport(); }}),
        PublishTimer(Loop, [this] { publish(); }),
        ReportTimer(Loop, [this] { onReportTimer(); }) {
    Snapshot.Members = std::make_shared<const std::vector<member_record>>();
  }

  void start() {
    Own.Node = Settings.Node;
    Own.Zone = Settings.Zone;
    Own.PeerAddress = Settings.PeerListen;
    Own.ControlAddress = Settings.ControlListen;
    Own.Incarnation = Incarnation;
    ReportTimer.startEvery(ReportPeriod);
    reportStatus();
    Parent.start();
  }

  // The tree.

  void findRelays(std::function<void(std::vector<relay_entry>)> Done) {
    Relay.findRelays([this, Done = std::move(Done)](
                         const result<std::vector<relay_entry>> &Relays) {
      if (Relays)
        return Done(*Relays);
      std::vector<relay_entry> Known;
      for (const member_record &Root : State.members().roots())
        Known.push_back({Root.Node, Root.Zone, Root.ControlAddress});
      Done(Known);
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
    update_outcome Outcome;
    Outcome.MembersChanged = true;
    onChanged(Outcome, false);
    Parent.sendUp({*State.members().find(Settings.Node)});
  }

  // Changes of the state.

  void onChanged(const update_outcome &Outcome, bool FromAbove) {
    if (Outcome.Refusal)
      onRefused(*Outcome.Refusal);
    if (Outcome.ConfigChanged) {
      InForceAt = Clock.wallNow();
      logEvent(event::ConfigInForce,
               "version " + std::to_string(State.version()));
      Relay.onReportChanged();
    }
    if (Outcome.LiveChanged)
      decodeLive();
    if (!Outcome.ConfigChanged && !Outcome.LiveChanged &&
        !Outcome.MembersChanged)
      return;
    (void)FromAbove;
    Listener.onStateChanged();
    if (!std::exchange(PublishPending, true))
      PublishTimer.startOnce(PublishDelay);
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
    Snapshot.Configuration = State.configuration();
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
    Own.State =
        Server.Draining ? member_state::Draining : member_state::Serving;
    publishOwn();
    update_outcome Outcome;
    Outcome.MembersChanged = true;
    onChanged(Outcome, false);
  }

  void checkServer() {
    if (!Snapshot.Server ||
        Context.now() - LastAnnouncement < AnnouncementLimit)
      return;
    Snapshot.Server.reset();
    Own.State = member_state::NoServer;
    publishOwn();
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
      Exchange.setRelays(Relay.relays());
      Relay.onReportChanged();
    }
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
                  double(Listener.bytes() + Parent.bytes() + Exchange.bytes()));
    Metrics.gauge("gentianlug_control_cpu_seconds_total",
                  std::chrono::duration<double>(threadTime()).count());
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
        {"in_force_at_ms",
         std::chrono::duration_cast<milliseconds>(InForceAt.time_since_epoch())
             .count()},
        {"members", State.members().size()},
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

net::mailbox<stop_request> &control_task::stops() { return Impl->Stops; }

void control_task::onStart() { Impl->start(); }

void control_task::onStop() {}

} // namespace gentianlug::node
