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

/// Time for reporting the draining state toward the root.
static constexpr milliseconds DrainReportTimeout{1000};

/// Time for a root relay to send its draining state to its children.
static constexpr milliseconds RootDrainDelay{100};

/// Time for sending the last record and releasing the relay lease.
static constexpr milliseconds LeaveFlushDelay{100};

void control_task::impl::findRelays(
    std::function<void(std::vector<relay_entry>)> Done) {
  SeedPeers.findRelays(
      [this, Done = std::move(Done)](std::vector<relay_entry> Known) {
        std::erase_if(Known, [this](const relay_entry &Relay) {
          return Relay.Node == Settings.Node;
        });
        bool HasOwnZoneRelay = std::any_of(Known.begin(), Known.end(),
                                           [this](const relay_entry &Relay) {
                                             return Relay.Zone == Settings.Zone;
                                           });
        if (HasOwnZoneRelay && !std::exchange(LastSearchUsedSeeds, true))
          return Done(std::move(Known));
        LastSearchUsedSeeds = false;
        queryPlatform(std::move(Known), Done);
      });
}

void control_task::impl::queryPlatform(
    std::vector<relay_entry> Known,
    const std::function<void(std::vector<relay_entry>)> &Done) {
  RelayRole.findRelays([this, Known = std::move(Known),
                        Done](const result<std::vector<relay_entry>> &Relays) {
    std::vector<relay_entry> Found = Relays ? *Relays : Known;
    if (!Relays)
      for (const member_record &Root : State.members().rootRelays())
        Found.push_back({Root.Node, Root.Zone, Root.ControlAddress});
    Done(std::move(Found));
  });
}

void control_task::impl::onPathChanged() {
  if (RelayRole.isRoot())
    return;
  std::vector<node_id> Path = ParentLink.parentPath();
  node_id NewParent = Path.empty() ? node_id() : Path.back();
  if (!Path.empty())
    Path.push_back(Settings.Node);
  Listener.setPath(std::move(Path));
  if (NewParent.empty() || NewParent == OwnRecord.Parent)
    return;
  OwnRecord.Parent = NewParent;
  publishOwnRecord();
}

void control_task::impl::onRelayGained() {
  ParentLink.stop();
  OwnRecord.Parent = node_id();
  Listener.setPath({Settings.Node});
  publishOwnRecord();
}

void control_task::impl::onRelayLost() {
  Listener.setPath({});
  RelayExchange.setRelays({});
  ParentLink.start();
}

void control_task::impl::publishOwnRecord() {
  if (OwnRecord.Parent.empty() && !RelayRole.isRoot())
    return;
  State.setOwnRecord(OwnRecord, Context.now());
  onChanged(membersChanged());
  ParentLink.sendUpstream({*State.members().find(Settings.Node)});
}

void control_task::impl::onParentResponse(config_version Version) {
  LastSearchUsedSeeds = false;
  StartupGate.onParentAnswered(Version);
  advanceStartup();
}

void control_task::impl::advanceStartup() {
  if (Serving)
    return;
  if (StartupGate.shouldSendProbes(Context.now())) {
    StartupGate.onProbesSent();
    SeedPeers.probe(
        [this](std::optional<distribution::sync_response> Response) {
          onProbeResponse(Response);
        });
  }
  if (!StartupGate.isReady(State.configVersion()))
    return;
  Serving = true;
  logEvent(event::ServingStarted,
           "version " + std::to_string(State.configVersion()));
  schedulePublish();
}

void control_task::impl::onProbeResponse(
    const std::optional<distribution::sync_response> &Response) {
  if (!Response)
    StartupGate.onProbeFailed();
  else
    StartupGate.onProbeAnswered(Response->ConfigVersion);
  if (Response)
    onChanged(State.apply(Response->Update,
                          distribution::update_source::Upstream,
                          Context.now()));
  advanceStartup();
}

void control_task::impl::exchangeWithRelays() {
  if (!RelayRole.isRoot())
    return;
  std::vector<relay_entry> Relays = RelayRole.relays();
  for (const relay_entry &Poller : Listener.relayPollers())
    if (!isAmong(Relays, Poller.Node))
      Relays.push_back(Poller);
  RelayExchange.setRelays(Relays);
}

bool control_task::impl::isAmong(const std::vector<relay_entry> &Relays,
                                 const node_id &Node) {
  return std::any_of(
      Relays.begin(), Relays.end(),
      [&](const relay_entry &Relay) { return Relay.Node == Node; });
}

void control_task::impl::checkOrphans() {
  std::vector<relay_entry> Roots = RelayRole.relays();
  for (const relay_entry &Poller : Listener.relayPollers())
    Roots.push_back(Poller);
  bool IsRoot = RelayRole.isRoot();
  onChanged(State.suspectOrphans(
      Context.now(),
      [this](const node_id &Node) {
        return Listener.children().isLiveChild(Node);
      },
      // Only root relays know the other root relays.
      [&](const node_id &Node) { return !IsRoot || isAmong(Roots, Node); }));
}

void control_task::impl::returnToOwnZone() {
  const std::vector<node_id> &Path = ParentLink.parentPath();
  if (Path.empty())
    return;
  const member_record *Root = State.members().find(Path.front());
  if (!Root || Root->Zone == Settings.Zone)
    return;
  std::vector<relay_entry> Own;
  for (const member_record &Relay : State.members().rootRelays())
    if (Relay.Zone == Settings.Zone && Relay.Node != Settings.Node)
      Own.push_back({Relay.Node, Relay.Zone, Relay.ControlAddress});
  // On average, two nodes of the zone contend in each period, independent of
  // the size of the zone.
  double Probability = 2.0 / double(std::max<std::size_t>(zoneSize(), 2));
  if (!Own.empty())
    ParentLink.reattach(Own);
  else if (drawBool(Gen, Probability))
    RelayRole.contendForAnySlot();
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
  DrainTimer.startOnce(ParentLink.attached() ? DrainReportTimeout
                                             : RootDrainDelay);
  publishOwnRecord();
}

void control_task::impl::onUpstreamDelivered() {
  if (Draining)
    drainReported();
}

void control_task::impl::drainReported() {
  if (!std::exchange(DrainReportSent, true))
    Outputs.DrainReported();
}

void control_task::impl::leave() {
  OwnRecord.State = member_state::Left;
  publishOwnRecord();
  RelayRole.release();
  LeaveTimer.startOnce(LeaveFlushDelay);
}

} // namespace gentianlug::node
