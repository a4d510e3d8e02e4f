#ifndef GENTIANLUG_NODE_ROLLOUT_PARTICIPATION_H
#define GENTIANLUG_NODE_ROLLOUT_PARTICIPATION_H

#include "gentianlug/node/messages.h"
#include "gentianlug/rollout/consecutive_error_detector.h"
#include "gentianlug/rollout/lease_candidate.h"
#include "rollout_session.h"

#include <functional>
#include <optional>
#include <string>

namespace gentianlug::node {

/// One node's part in one rollout of the service of its local server: watches
/// the local server, contends for the lease when no controller is heard, and
/// sends evidence and notices. It has no sockets of its own.
class rollout_participation {
public:
  struct outputs {
    std::function<void(version_quarantine)> Quarantine;
    /// Sends evidence to a controller.
    std::function<void(const address &, const rollout::server_evidence &)>
        Evidence;
    /// Sends a notice to the nodes beside the servers of the service.
    std::function<void(const rollout::controller_notice &)> Notice;
  };

  /// \param Server the local server, of the service that moves.
  rollout_participation(rollout_session::context Context,
                        rollout::controller_parameters Task,
                        const wire::server_announcement &Server,
                        std::unique_ptr<rollout::version_evaluator> Verdict,
                        outputs Outputs);
  /// Lifts a cut of the local server.
  ~rollout_participation();

  /// Returns whether this is still the part that the node has to play.
  bool matches(const rollout::controller_parameters &Task,
               const wire::server_announcement &Server) const;

  void onConfiguration(config_version Version);
  void onDelivered(const rollout::rollout_state &State);
  void onNotice(const rollout::controller_notice &Notice);
  void onRemoteEvidence(const rollout::server_evidence &Evidence);

  /// Tells whether the local server takes calls. While it does, the controller
  /// hears of it at least each second, also without calls.
  void onServer(bool Present) { ServerPresent = Present; }

  /// Completes evidence of the local server and passes it to the controller.
  void onLocalEvidence(rollout::server_evidence Evidence);

  /// Call it once each `EvaluationPeriod`.
  void tick();

  /// Gives the lease up. Returns whether `tick` must go on until it is given.
  bool release();

  /// Returns the newest state known to this node, or null.
  const rollout::rollout_state *state() const;
  bool isController() const { return Session.isController(); }
  const std::string &quarantineReason() const { return QuarantineReason; }
  const rollout::controller_parameters &task() const { return Task; }

private:
  bool isDecided() const;
  void setController(const address &Node, std::uint64_t Epoch);
  void quarantine(const std::string &Reason);
  void sendHeartbeat();
  void sendNotice();

  rollout_session::context Context;
  rollout::controller_parameters Task;
  wire::server_announcement Server;
  outputs Outputs;
  rollout_session Session;
  rollout::lease_candidate Candidacy;
  rollout::consecutive_error_detector Guard;
  std::optional<rollout::rollout_state> Delivered;
  /// Controller by the newest notice or state, and its epoch.
  address Controller;
  std::uint64_t ControllerEpoch = 0;
  std::uint64_t Sequence;
  bool ServerPresent = true;
  /// Allowances of the last evidence; a server that sent none counts as cold.
  std::uint32_t Allowance = 1;
  std::uint32_t FullAllowance = 1;
  steady_time LastEvidence{};
  std::string QuarantineReason;
  /// Why and when the last notice was sent.
  std::string NotifiedQuarantine;
  steady_time NextNotice{};
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_PARTICIPATION_H
