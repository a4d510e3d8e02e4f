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

// Messages between the tasks of a node. Snapshots are immutable and shared.

/// Everything that routing needs, swapped in as one.
struct routing_snapshot {
  /// Null until a version is in force.
  std::shared_ptr<const config::versioned_configuration> Configuration;
  /// Serving and draining members, by node.
  std::shared_ptr<const std::vector<membership::member_record>> Members;
  std::map<zone_name, store::out_of_service_zone> ZonesOutOfService;
  std::map<service_name, rollout::rollout_state> Rollouts;
  /// The server beside this node, once it has announced itself.
  std::optional<wire::server_announcement> Server;
};

/// A new or renewed announcement of the server beside this node.
struct server_announced {
  wire::server_announcement Announcement;
};

/// Evidence of the local server for the controller of its rollout.
struct evidence_ready {
  rollout::server_evidence Evidence;
};

/// Whether the local server shall get no more calls, for strong evidence
/// against its version.
struct version_quarantine {
  version_name Version;
  std::string RolloutId;
  bool Quarantined = false;
};

/// The node is about to stop and shall announce that.
struct drain_request {};

/// The node shall stop gracefully.
struct stop_request {};

/// What the admin listener shows of one task.
struct task_report {
  /// Name of the reporting task, the key of its reports.
  std::string Task;
  /// Metrics in the Prometheus text form.
  std::string Metrics;
  /// One JSON object.
  std::string StatusJson;
  /// Plain sentences.
  std::vector<std::string> StatusLines;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_MESSAGES_H
