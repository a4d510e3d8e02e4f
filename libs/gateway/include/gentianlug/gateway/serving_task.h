#ifndef GENTIANLUG_GATEWAY_SERVING_TASK_H
#define GENTIANLUG_GATEWAY_SERVING_TASK_H

#include "gentianlug/gateway/call_transport.h"
#include "gentianlug/gateway/task_context.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/mesh/server_admission.h"
#include "gentianlug/rollout/evidence.h"

#include <memory>

namespace gentianlug::gateway {

/// Request path at which a node receives rollout evidence from other nodes.
inline constexpr const char *EvidencePath = "/v1/evidence";

/// The server beside this node, as described by its announcements.
struct local_server {
  mesh::admitted_server Admission;
  address Address;
  service_name Service;
  version_name Version;
  std::string HealthPath;
};

/// A call that is running at the server and has made a call itself.
struct enclosing_call {
  std::string CallId;
  /// Another server has been sent the call before.
  bool IsRetry = false;
};

/// Forwards calls from this node and from others to the server beside this
/// node.
///
/// Owns the listener for other nodes, the connections to the server and the
/// admission control in front of it.
class serving_task final : public call_transport {
public:
  /// \param LinkBytesPerSecond bandwidth of the machine's link; 0 if unlimited.
  /// \param Pacer paces large responses on that link.
  serving_task(task_context Context, double LinkBytesPerSecond,
               http1::link_pacer &Pacer);
  ~serving_task() override;

  /// \param MaxConnections maximum number of connections of other nodes.
  ///
  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At, std::size_t MaxConnections);

  /// Sets the handler for evidence from other nodes.
  void setEvidenceHandler(
      std::function<void(const rollout::server_evidence &)> Handler);

  /// Sets the handler for polls from followers, see `feed_task`.
  void setFollowerPollHandler(
      std::function<void(std::shared_ptr<http1::exchange>)> Handler);

  /// Sets the handler for messages with the usage counts of other nodes.
  void setUsageHandler(std::function<void(http1::exchange &)> Handler);

  /// Sets the handler for calls of client accounts.
  ///
  /// \param Handler called when a call is sent to the server, with no time, and
  /// when the server has not run it, with the time at which it was sent.
  void setAccountCallHandler(
      std::function<void(const account_name &Account,
                         std::optional<steady_time> NotRunSince)>
          Handler);

  /// Sets the handler for a server that says in a response that it is leaving.
  void
  setLeavingHandler(std::function<void(const std::string &Instance)> Handler);

  /// Sets the handler for a server that rejects a call because it is not
  /// \p Instance.
  void
  setDeniedHandler(std::function<void(const std::string &Instance)> Handler);

  // Notifications and commands from `gateway_node`.
  /// The server was announced, has changed or is gone.
  void onServer(const std::optional<local_server> &Server);
  /// The server announced that it is running and needs \p ColdFor to warm up.
  void onServerAnnounced(std::chrono::milliseconds ColdFor);
  /// Rejects all calls with \p Reason; admits calls again if it is empty.
  void setBlockReason(const std::optional<mesh::rejection_reason> &Reason);
  void onRetryBounds(const mesh::mesh_bounds &Bounds, std::size_t Servers);
  /// From now on, each response asks the other node to close the connection.
  void startDraining();

  ticket send(const mesh::server_record &Target, const peer_call &Call,
              const http1::request &Request, callback Done) override;
  void cancel(ticket Ticket) override;

  /// Discards the evidence of the server's calls and starts to count anew.
  void resetEvidence();
  /// Returns the evidence of the server's calls since the last
  /// `resetEvidence`, or since another version runs.
  rollout::server_evidence evidence();
  /// Returns whether the server is known to be running, so that it gets calls.
  bool isServerConfirmed() const;
  /// Answers all calls in flight, because this node is about to end. Calls that
  /// the server has received may have been executed.
  void answerOpenCalls();
  std::size_t callsInFlight() const;
  /// Returns the number of response bytes that are still to be sent to other
  /// nodes.
  std::size_t unsentBytes() const;
  /// Returns the call running at the server for which the server makes the call
  /// \p CallId, if any. The ID of such a call begins with that of the enclosing
  /// call. Complexity: linear in the running calls.
  std::optional<enclosing_call>
  findEnclosingCall(const std::string &CallId) const;
  /// Returns whether \p CallId may be that of a call that the server made for
  /// one that it no longer runs: one that ended a short time ago, or one from
  /// before this node started. Complexity: linear in the ended calls.
  bool mayBelongToEndedCall(const std::string &CallId) const;
  /// The mesh rejected a call that the server made for the call \p EnclosingId.
  void onNestedCallRejected(const std::string &EnclosingId);
  /// Sets the function that returns the unsent bytes of the node's other
  /// listeners on the same link.
  void setOtherUnsentBytesSource(std::function<std::size_t()> UnsentBytes);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_SERVING_TASK_H
