#ifndef GENTIANLUG_GATEWAY_SERVING_TASK_H
#define GENTIANLUG_GATEWAY_SERVING_TASK_H

#include "gentianlug/gateway/call_transport.h"
#include "gentianlug/gateway/task_context.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/mesh/server_admission.h"
#include "gentianlug/rollout/evidence.h"

#include <memory>

namespace gentianlug::gateway {

/// Where a node takes evidence of rollouts from other nodes.
inline constexpr const char *EvidencePath = "/v1/evidence";

/// The server beside this node, as its announcements describe it.
struct local_server {
  mesh::admitted_server Admission;
  address Address;
  service_name Service;
  version_name Version;
  std::string HealthPath;
};

/// Takes calls of other nodes and of this one to the server beside this node.
///
/// Owns the listener for other nodes, the connections to the server and the
/// gate in front of it.
class serving_task final : public call_transport {
public:
  /// \param LinkBytesPerSecond bandwidth of the machine's link; 0 when it has
  ///   no bound.
  /// \param Pacer of that link.
  serving_task(task_context Context, double LinkBytesPerSecond,
               http1::link_pacer &Pacer);
  ~serving_task() override;

  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At);

  /// Runs \p Action with evidence that other nodes send.
  void setEvidenceHandler(
      std::function<void(const rollout::server_evidence &)> Action);

  /// Runs \p Action with questions of followers, see `feed_task`.
  void setFollowerPollHandler(
      std::function<void(std::shared_ptr<http1::exchange>)> Action);

  // Messages to the task.
  /// The server was announced, changed, or is gone.
  void onServer(const std::optional<local_server> &Server);
  /// The server announced that it runs, and how long it stays cold.
  void onServerAnnounced(std::chrono::milliseconds ColdFor);
  void setClosed(const std::optional<mesh::rejection_reason> &Reason);
  void onRetryBounds(const mesh::mesh_bounds &Bounds, std::size_t Servers);
  /// Takes no more calls of other nodes.
  void startDraining();

  ticket send(const mesh::server_record &Target, const peer_call &Call,
              const http1::request &Request, callback Done) override;
  void cancel(ticket Ticket) override;

  /// Returns what the server did since the last call of this function.
  rollout::server_evidence takeEvidence();
  std::size_t callsInFlight() const;
  /// Returns the bytes of answers that wait to be sent to other nodes.
  std::size_t unsentBytes() const;
  /// Returns the share of the calls at the server that are repeats.
  double retryShare() const;
  /// Asks for the bytes that other listeners of the node have to send.
  void setOtherUnsentBytesSource(std::function<std::size_t()> UnsentBytes);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_SERVING_TASK_H
