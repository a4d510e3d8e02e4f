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

/// Participation of a node in a rollout of its local server's service. It
/// monitors the local server, contends for the rollout lease when no notices of
/// a controller arrive, and sends evidence and notices through its outputs.
class rollout_participation {
public:
  struct outputs {
    /// Quarantines the local server or ends its quarantine.
    std::function<void(version_quarantine)> Quarantine;
    /// Sends evidence to a controller.
    std::function<void(const address &, const rollout::server_evidence &)>
        Evidence;
    /// Sends a notice to the nodes whose local servers provide the service.
    std::function<void(const rollout::controller_notice &)> Notice;
  };

  /// \param Server the local server, which provides the service of the rollout.
  rollout_participation(rollout_session::context Context,
                        rollout::controller_parameters Parameters,
                        const wire::server_announcement &Server,
                        std::unique_ptr<rollout::version_evaluator> Evaluator,
                        outputs Outputs);
  /// Ends a quarantine of the local server.
  ~rollout_participation();

  /// Returns whether this object still applies to the given rollout and local
  /// server.
  bool matches(const rollout::controller_parameters &Parameters,
               const wire::server_announcement &Server) const;

  void onConfigurationChanged(config_version Version);
  void onStateDelivered(const rollout::rollout_state &State);
  void onNotice(const rollout::controller_notice &Notice);
  void onRemoteEvidence(const rollout::server_evidence &Evidence);

  /// Sets whether the local server accepts calls. While it does, the controller
  /// receives evidence at least every second, even without calls.
  void setServerPresent(bool Present) { ServerPresent = Present; }

  /// Adds the node, the sequence number and the quarantine to evidence of the
  /// local server, and sends it to the controller.
  void onLocalEvidence(rollout::server_evidence Evidence);

  /// Must be called once in each `EvaluationPeriod`.
  void tick();

  /// Releases the lease. Returns whether `tick` must still be called to
  /// complete the release.
  bool release();

  /// Returns the newest known rollout state, or null.
  const rollout::rollout_state *state() const;
  bool isController() const { return Session.isController(); }
  const std::string &quarantineReason() const { return QuarantineReason; }
  const rollout::controller_parameters &parameters() const {
    return Parameters;
  }

private:
  bool isDecided() const;
  void setController(const address &Node, std::uint64_t Epoch);
  void quarantine(const std::string &Reason);
  void sendHeartbeat();
  void sendNotice();

  rollout_session::context Context;
  rollout::controller_parameters Parameters;
  wire::server_announcement Server;
  outputs Outputs;
  rollout_session Session;
  rollout::lease_candidate Candidate;
  rollout::consecutive_error_detector ErrorDetector;
  std::optional<rollout::rollout_state> DeliveredState;
  /// Address and epoch of the controller from the newest notice or state.
  address ControllerAddress;
  std::uint64_t ControllerEpoch = 0;
  std::uint64_t Sequence;
  bool ServerPresent = true;
  /// Concurrency limits in the last evidence. Without evidence, the server is
  /// assumed to be cold.
  std::uint32_t ConcurrencyLimit = 1;
  std::uint32_t WarmConcurrencyLimit = 1;
  steady_time LastEvidence{};
  std::string QuarantineReason;
  /// Quarantine reason in the last notice, and the time of the next one.
  std::string NotifiedQuarantine;
  steady_time NextNotice{};
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_PARTICIPATION_H
