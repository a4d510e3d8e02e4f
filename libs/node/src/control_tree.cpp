#include "control_task_impl.h"

#include "gentianlug/observe/log.h"

#include <algorithm>

namespace gentianlug::node {

using distribution::relay_entry;
using membership::member_record;
using membership::member_state;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

/// Bounds of a planned stop: of the report toward the root, of the answers to
/// the children of a root relay, and of the last record with the release of
/// the relay lease.
static constexpr milliseconds DrainReportLimit{1000};

static constexpr milliseconds RootDrainDelay{100};

static constexpr milliseconds LeaveDelay{100};

void control_task::impl::findRelays(
    std::function<void(std::vector<relay_entry>)> Done) {
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
        queryPlatform(std::move(Known), Done);
      });
}

void control_task::impl::queryPlatform(
    std::vector<relay_entry> Known,
    const std::function<void(std::vector<relay_entry>)> &Done) {
  Relay.findRelays([this, Known = std::move(Known),
                    Done](const result<std::vector<relay_entry>> &Relays) {
    std::vector<relay_entry> Found = Relays ? *Relays : Known;
    if (!Relays)
      for (const member_record &Root : State.members().rootRelays())
        Found.push_back({Root.Node, Root.Zone, Root.ControlAddress});
    Done(std::move(Found));
  });
}

void control_task::impl::onPathChanged() {
  if (Relay.isRoot())
    return;
  std::vector<node_id> Path = Parent.parentPath();
  node_id NewParent = Path.empty() ? node_id() : Path.back();
  if (!Path.empty())
    Path.push_back(Settings.Node);
  Listener.setPath(std::move(Path));
  if (NewParent.empty() || NewParent == OwnRecord.Parent)
    return;
  OwnRecord.Parent = NewParent;
  publishOwn();
}

void control_task::impl::onRelayGained() {
  Parent.stop();
  OwnRecord.Parent = node_id();
  Listener.setPath({Settings.Node});
  publishOwn();
}

void control_task::impl::onRelayLost() {
  Listener.setPath({});
  Exchange.setRelays({});
  Parent.start();
}

void control_task::impl::publishOwn() {
  if (OwnRecord.Parent.empty() && !Relay.isRoot())
    return;
  State.setOwnRecord(OwnRecord, Context.now());
  onChanged(membersChanged());
  Parent.sendUpstream({*State.members().find(Settings.Node)});
}

void control_task::impl::onParentAnswered(config_version Version) {
  SeedsTrusted = false;
  Gate.onParentAnswered(Version);
  startup();
}

void control_task::impl::startup() {
  if (Serving)
    return;
  if (Gate.shouldSendProbes(Context.now())) {
    Gate.onProbesSent();
    Seeds.probe([this](std::optional<distribution::sync_response> Response) {
      onProbed(Response);
    });
  }
  if (!Gate.isReady(State.configVersion()))
    return;
  Serving = true;
  logEvent(event::ServingStarted,
           "version " + std::to_string(State.configVersion()));
  schedulePublish();
}

void control_task::impl::onProbed(
    const std::optional<distribution::sync_response> &Response) {
  if (!Response)
    Gate.onProbeFailed();
  else
    Gate.onProbeAnswered(Response->ConfigVersion);
  if (Response)
    onChanged(State.apply(Response->Update,
                          distribution::update_source::Upstream,
                          Context.now()));
  startup();
}

void control_task::impl::exchangeWithRelays() {
  if (!Relay.isRoot())
    return;
  std::vector<relay_entry> Relays = Relay.relays();
  for (const relay_entry &Poller : Listener.relayPollers())
    if (!isAmong(Relays, Poller.Node))
      Relays.push_back(Poller);
  Exchange.setRelays(Relays);
}

bool control_task::impl::isAmong(const std::vector<relay_entry> &Relays,
                                 const node_id &Node) {
  return std::any_of(
      Relays.begin(), Relays.end(),
      [&](const relay_entry &Relay) { return Relay.Node == Node; });
}

void control_task::impl::checkOrphans() {
  std::vector<relay_entry> Roots = Relay.relays();
  for (const relay_entry &Poller : Listener.relayPollers())
    Roots.push_back(Poller);
  bool IsRoot = Relay.isRoot();
  onChanged(State.suspectOrphans(
      Context.now(),
      [this](const node_id &Node) {
        return Listener.children().isLiveChild(Node);
      },
      // Only a root relay knows the others.
      [&](const node_id &Node) { return !IsRoot || isAmong(Roots, Node); }));
}

void control_task::impl::returnToOwnZone() {
  const std::vector<node_id> &Path = Parent.parentPath();
  if (Path.empty())
    return;
  const member_record *Root = State.members().find(Path.front());
  if (!Root || Root->Zone == Settings.Zone)
    return;
  std::vector<relay_entry> Own;
  for (const member_record &Relay : State.members().rootRelays())
    if (Relay.Zone == Settings.Zone && Relay.Node != Settings.Node)
      Own.push_back({Relay.Node, Relay.Zone, Relay.ControlAddress});
  // About two nodes of a zone try in each period, whatever its size.
  double Chance = 2.0 / double(std::max<std::size_t>(zoneSize(), 2));
  if (!Own.empty())
    Parent.reattach(Own);
  else if (drawChance(Gen, Chance))
    Relay.contendForAny();
}

std::size_t control_task::impl::zoneSize() const {
  std::size_t Size = 0;
  State.members().forEach([&](const member_record &Record) {
    Size += Record.Zone == Settings.Zone ? 1 : 0;
  });
  return Size;
}

void control_task::impl::drain() {
  Draining = true;
  OwnRecord.State = member_state::Draining;
  DrainTimer.startOnce(Parent.attached() ? DrainReportLimit : RootDrainDelay);
  publishOwn();
}

void control_task::impl::onUpstreamDelivered() {
  if (Draining)
    drainReported();
}

void control_task::impl::drainReported() {
  if (!std::exchange(DrainPosted, true))
    Outputs.DrainReported();
}

void control_task::impl::leave() {
  OwnRecord.State = member_state::Left;
  publishOwn();
  Relay.release();
  LeaveTimer.startOnce(LeaveDelay);
}

} // namespace gentianlug::node
