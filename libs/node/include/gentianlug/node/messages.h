#ifndef GENTIANLUG_NODE_MESSAGES_H
#define GENTIANLUG_NODE_MESSAGES_H

#include "gentianlug/config/model.h"
#include "gentianlug/membership/member_record.h"
#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/zone_state.h"
#include "gentianlug/wire/server_announcement.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::node {

// Messages between the tasks of a node. Snapshots are immutable and shared
// between tasks.

/// Consistent state for routing decisions, replaced as a whole.
struct routing_snapshot {
  /// Null until a configuration version is in force.
  std::shared_ptr<const config::versioned_configuration> Configuration;
  /// Serving and draining members, sorted by node id.
  std::shared_ptr<const std::vector<membership::member_record>> Members;
  std::map<zone_name, store::out_of_service_zone> ZonesOutOfService;
  std::map<service_name, rollout::rollout_state> Rollouts;
  /// The backend server beside this node, once it has announced itself.
  std::optional<wire::server_announcement> Server;
};

/// A new or repeated announcement of the backend server beside this node.
struct server_announced {
  wire::server_announcement Announcement;
};

/// Evidence about the local backend server for the controller of its rollout.
struct evidence_ready {
  rollout::server_evidence Evidence;
};

/// Starts or ends the quarantine of a version of the local backend server. A
/// quarantined version receives no calls, because there is strong evidence
/// against it.
struct version_quarantine {
  version_name Version;
  std::string RolloutId;
  bool Quarantined = false;
};

/// Requests that the node announces that it is about to stop.
struct drain_request {};

/// Requests a graceful stop of the node.
struct stop_request {};

/// Metrics and status of one task, shown by the admin listener.
struct task_report {
  /// Name of the reporting task. A report replaces the previous one of the same
  /// task.
  std::string Task;
  /// Metrics in the Prometheus text format.
  std::string Metrics;
  /// Status as one JSON object.
  std::string StatusJson;
  /// Status as lines of text.
  std::vector<std::string> StatusLines;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_MESSAGES_H
