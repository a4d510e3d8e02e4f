#ifndef GENTIANLUG_NODE_CONTROL_TASK_IMPL_H
#define GENTIANLUG_NODE_CONTROL_TASK_IMPL_H

#include "control_context.h"
#include "control_listener.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/node/control_task.h"
#include "parent_link.h"
#include "relay_exchange.h"
#include "relay_role.h"
#include "seed_peers.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace gentianlug::node {

using distribution::refusal_report;
using distribution::relay_entry;
using distribution::subtree_report;
using distribution::update_outcome;
using membership::member_record;

/// State and behaviour of `control_task`; control_task.cpp holds its wiring and
/// the changes of its state, control_tree.cpp the place in the relay tree,
/// control_reports.cpp the reports.
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
  member_record OwnRecord;
  std::vector<refusal_report> Refusals;
  /// When the last versions came into force, oldest first.
  std::deque<std::pair<config_version, wall_time>> RecentVersions;
  /// Whether the last search trusted the seed peers. A search that follows it
  /// found their relays silent and asks the platform.
  bool SeedsTrusted = false;
  unsigned Rounds = 0;
  bool Draining = false;
  bool DrainPosted = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O);
  std::function<void(const update_outcome &)> changed();
  parent_link::outputs parentOutputs();
  relay_role::outputs relayOutputs();
  void start();

  // The tree.

  /// Asks seed peers first: the platform is asked only when they know no relay
  /// of the zone, so that a storm of starting nodes does not reach it.
  void findRelays(std::function<void(std::vector<relay_entry>)> Done);
  void queryPlatform(std::vector<relay_entry> Known,
                     const std::function<void(std::vector<relay_entry>)> &Done);
  void onPathChanged();
  void onRelayGained();
  void onRelayLost();
  /// Publishes the own record, once this node has a place in the tree.
  void publishOwn();
  void onParentAnswered(config_version Version);
  /// Takes the next step until this node may serve.
  void startup();
  void onProbed(const std::optional<distribution::sync_response> &Response);
  /// Polls the relays of the listing and those that poll this one.
  void exchangeWithRelays();
  static bool isAmong(const std::vector<relay_entry> &Relays,
                      const node_id &Node);
  /// Suspects nodes that died together with the relay that watched them.
  void checkOrphans();
  /// A node below a relay of another zone goes back once its own zone has one,
  /// or tries to become one.
  void returnToOwnZone();
  std::size_t zoneSize() const;

  // The end.

  void drain();
  void onUpstreamDelivered();
  void drainReported();
  /// Publishes that this node is gone and frees its relay lease.
  void leave();

  // Changes of the state.

  static update_outcome membersChanged();
  void onChanged(const update_outcome &Outcome);
  void schedulePublish();
  void recordVersionInForce();
  void onRefused(const refusal_report &Refusal);
  void decodeLiveValues();
  void rejectLiveValue(const std::string &Key, const error &Reason);
  void decodeZones(const distribution::live_value &Value);
  void decodeRollout(const std::string &Key,
                     const distribution::live_value &Value);
  void publish();

  // The local server.

  void onAnnounced(const server_announced &Message);
  void checkServer();

  // Reports.

  subtree_report ownReport() const;
  /// Returns the report of this node and all nodes below it.
  subtree_report report() const;
  /// Returns the report of all relays of the zone.
  subtree_report zoneReport() const;
  void onReportTimer();
  static std::chrono::nanoseconds threadTime();
  void measure();
  static std::int64_t toMillis(wall_time Time);
  nlohmann::json recentToJson() const;
  static double residentBytes();
  void reportStatus();
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_TASK_IMPL_H
