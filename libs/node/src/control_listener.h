#ifndef GENTIANLUG_NODE_CONTROL_LISTENER_H
#define GENTIANLUG_NODE_CONTROL_LISTENER_H

#include "control_context.h"
#include "gentianlug/distribution/child_table.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/rollout/evidence.h"

#include <functional>
#include <list>
#include <map>

namespace gentianlug::node {

/// HTTP server of the control plane. It answers the polls of children and of
/// other root relays, and receives rollout evidence and controller notices.
class control_listener {
public:
  struct outputs {
    /// Reports changes of member records: records from the subtree, and
    /// nodes that timed out.
    std::function<void(const distribution::update_outcome &)> Changed;
    std::function<void(rollout::server_evidence)> Evidence;
    std::function<void(rollout::controller_notice)> ControllerNotice;
  };

  control_listener(control_context &Context, outputs Outputs);

  result<void> listen();

  /// Sets the path from the root relay to this node, or an empty path while
  /// this node is not connected to a root relay.
  void setPath(std::vector<node_id> Path);

  /// Schedules responses to the pending polls after a change of the state.
  /// The delay batches successive changes into one response.
  void onStateChanged();

  /// Offers a free relay slot of the zone to the next child of the zone that
  /// is answered.
  void offerSlot(std::uint32_t Slot);

  const distribution::child_table &children() const { return Children; }

  /// Returns the merged reports of the children.
  distribution::subtree_report report() const { return Children.report(); }

  /// Returns the merged reports of the other root relays of \p Zone that poll
  /// this node.
  distribution::subtree_report relayReports(const zone_name &Zone) const;

  /// Returns the other root relays that poll this node. A relay that has just
  /// acquired its lease shows up here before the next listing of the leases.
  std::vector<distribution::relay_entry> relayPollers() const;

  /// Returns the number of bytes sent and received by this listener.
  std::uint64_t bytes() const { return Server.transferredBytes(); }

private:
  /// A long poll that is held until the state changes or its deadline passes.
  struct pending_poll {
    net::http_exchange Exchange;
    distribution::sync_request Request;
    steady_time Deadline;
    bool Resync = false;
    bool IncludeConfig = true;
  };

  /// State kept for each peer that polls this node.
  struct poller {
    std::uint64_t PeerDigest = 0;
    std::uint64_t OwnDigest = 0;
    unsigned DigestMismatches = 0;
    steady_time LastSeen{};
    distribution::relay_entry Relay;
    bool IsRelay = false;
    /// Path in the last response.
    std::vector<node_id> SentPath;
    distribution::subtree_report Report;
  };

  void onRequest(const net::http_exchange &Exchange);
  void onSync(const net::http_exchange &Exchange);
  void onUpstreamRecords(const net::http_exchange &Exchange);
  void onAttach(const net::http_exchange &Exchange);
  void onEvidence(const net::http_exchange &Exchange);
  void onControllerNotice(const net::http_exchange &Exchange);
  void onRelays(const net::http_exchange &Exchange);
  void reject(const net::http_exchange &Exchange, int Status,
              const std::string &Reason);
  bool checkNodeName(const net::http_exchange &Exchange,
                     const distribution::peer_identity &From);
  void readmit(distribution::sync_request &Request) const;
  bool needsResync(const distribution::sync_request &Request);
  void respond(const pending_poll &Poll);
  bool mayReceiveConfig(const distribution::sync_request &Request) const;
  bool hasUpdate(const pending_poll &Poll) const;
  distribution::sync_request effectiveRequest(const pending_poll &Poll) const;
  void flush();
  void tick();

  control_context &Context;
  outputs Outputs;
  net::http_server Server;
  net::timer FlushTimer;
  net::timer TickTimer;
  bool FlushPending = false;
  steady_time LastFlush{};
  config_version LastSeenVersion = 0;
  /// When the current configuration version was activated.
  steady_time VersionActivatedAt{};
  distribution::child_table Children;
  std::vector<node_id> Path;
  std::optional<std::uint32_t> OfferedSlot;
  std::list<pending_poll> PendingPolls;
  std::map<node_id, poller> Pollers;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_LISTENER_H
