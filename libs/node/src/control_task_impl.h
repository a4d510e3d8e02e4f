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

/// Implementation of `control_task`. control_task.cpp connects the components
/// and handles state changes, control_tree.cpp manages the position of the node
/// in the relay tree, and control_reports.cpp creates the reports.
struct control_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  net::mailbox<server_announced> Announcements;
  net::mailbox<drain_request> DrainRequests;
  net::mailbox<stop_request> StopRequests;
  net::platform_client Platform;
  system_clock Clock;
  generator Gen;
  observe::metric_set Metrics;
  incarnation_number Incarnation;
  distribution::node_state State;
  control_context Context;
  control_listener Listener;
  parent_link ParentLink;
  relay_exchange RelayExchange;
  relay_role RelayRole;
  seed_peers SeedPeers;
  distribution::startup_gate StartupGate;
  net::timer PublishTimer;
  net::timer ReportTimer;
  net::timer DrainTimer;
  net::timer LeaveTimer;
  bool PublishPending = false;
  steady_time LastPublish{};
  /// Routing generation of the members in the last published snapshot.
  std::uint64_t PublishedRoutingGeneration = 0;
  /// Whether the startup gate has opened.
  bool Serving = false;
  routing_snapshot Snapshot;
  steady_time LastAnnouncement{};
  member_record OwnRecord;
  std::vector<refusal_report> Refusals;
  /// The last activated versions with their activation times, oldest first.
  std::deque<std::pair<config_version, wall_time>> RecentVersions;
  /// Whether the last search used the relays that the seed peers returned. If
  /// another search follows, these relays did not respond, and the platform is
  /// queried.
  bool LastSearchUsedSeeds = false;
  unsigned ReportCount = 0;
  bool Draining = false;
  bool DrainReportSent = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O);
  std::function<void(const update_outcome &)> changeHandler();
  parent_link::outputs parentOutputs();
  relay_role::outputs relayOutputs();
  void start();

  // Relay tree.

  /// Finds root relays. Seed peers are queried first, and the platform only if
  /// they know no relay of the own zone, so that many nodes starting at the
  /// same time do not overload the platform.
  void findRelays(std::function<void(std::vector<relay_entry>)> Done);
  void queryPlatform(std::vector<relay_entry> Known,
                     const std::function<void(std::vector<relay_entry>)> &Done);
  void onPathChanged();
  void onRelayGained();
  void onRelayLost();
  /// Publishes the own record if this node has a parent or is a root relay.
  void publishOwnRecord();
  void onParentResponse(config_version Version);
  /// Performs the next startup step until this node may serve calls.
  void advanceStartup();
  void
  onProbeResponse(const std::optional<distribution::sync_response> &Response);
  /// Polls all listed relays and all relays that poll this node.
  void exchangeWithRelays();
  static bool isAmong(const std::vector<relay_entry> &Relays,
                      const node_id &Node);
  /// Marks nodes as suspect that failed together with the relay that monitored
  /// them.
  void checkOrphans();
  /// If this node is attached below a root relay of another zone, attaches to a
  /// root relay of its own zone. If there is none, the node may contend for a
  /// relay slot of the zone.
  void returnToOwnZone();
  std::size_t zoneSize() const;

  // Shutdown.

  void drain();
  void onUpstreamDelivered();
  void drainReported();
  /// Publishes that this node has left and releases its relay lease.
  void leave();

  // State changes.

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

  // Local server.

  void onAnnounced(const server_announced &Message);
  void expireServerAnnouncement();

  // Reports.

  subtree_report ownReport() const;
  /// Returns the merged report of this node and its subtree.
  subtree_report report() const;
  /// Returns the merged report of all root relays of the own zone.
  subtree_report zoneReport() const;
  void onReportTimer();
  static std::chrono::nanoseconds threadCpuTime();
  void updateMetrics();
  static std::int64_t toUnixMilliseconds(wall_time Time);
  nlohmann::json recentVersionsToJson() const;
  static double residentBytes();
  void reportStatus();
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_TASK_IMPL_H
