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

/// The control listener: children, other root relays, evidence.
class control_listener {
public:
  struct outputs {
    /// Records came from below and changed the state.
    std::function<void(const distribution::update_outcome &)> Changed;
    std::function<void(rollout::server_evidence)> Evidence;
    std::function<void(rollout::controller_notice)> ControllerNotice;
  };

  control_listener(control_context &Context, outputs Outputs);

  result<void> listen();

  /// Sets the nodes from the root to this one; empty without a way there.
  void setPath(std::vector<node_id> Path);

  /// The state changed: waiting polls are answered a little later, so that
  /// changes in a row travel together.
  void onStateChanged();

  /// Offers a free relay slot of the zone to one child.
  void offerSlot(std::uint32_t Slot);

  const distribution::child_table &children() const { return Children; }

  /// Returns the sum of the reports of the children.
  distribution::subtree_report report() const { return Children.report(); }

  /// Returns the reports of the other root relays of \p Zone that poll here.
  distribution::subtree_report relayReports(const zone_name &Zone) const;

  /// Returns the other root relays that poll here. A relay that has just
  /// taken its lease is known by its poll before the next listing.
  std::vector<distribution::relay_entry> relayPollers() const;

  /// Returns the bytes sent and received by this listener.
  std::uint64_t bytes() const { return Server.bytes(); }

private:
  /// A poll that waits for news.
  struct pending_poll {
    net::http_exchange Exchange;
    distribution::sync_request Request;
    steady_time Deadline;
    bool Resync = false;
    bool WithConfig = true;
  };

  /// State of one polling peer.
  struct poller {
    std::uint64_t Digest = 0;
    std::uint64_t OwnDigest = 0;
    unsigned Differing = 0;
    steady_time LastSeen{};
    distribution::relay_entry Relay;
    bool IsRelay = false;
    /// Path of the last response.
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
  void refuse(const net::http_exchange &Exchange, int Status,
              const std::string &Reason);
  bool checkName(const net::http_exchange &Exchange,
                 const distribution::peer_identity &From);
  void readmit(distribution::sync_request &Request) const;
  bool needsResync(const distribution::sync_request &Request);
  void answer(const pending_poll &Poll);
  bool mayGetConfig(const distribution::sync_request &Request) const;
  bool isDue(const pending_poll &Poll) const;
  distribution::sync_request requestOf(const pending_poll &Poll) const;
  void flush();
  void tick();

  control_context &Context;
  outputs Outputs;
  net::http_server Server;
  net::timer FlushTimer;
  net::timer TickTimer;
  bool FlushPending = false;
  steady_time LastFlush{};
  config_version SeenVersion = 0;
  /// When the version in force came into force.
  steady_time VersionSince{};
  distribution::child_table Children;
  std::vector<node_id> Path;
  std::optional<std::uint32_t> FreeSlot;
  std::list<pending_poll> Polls;
  std::map<node_id, poller> Pollers;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_LISTENER_H
