#ifndef GENTIANLUG_GATEWAY_ENTRY_CALL_H
#define GENTIANLUG_GATEWAY_ENTRY_CALL_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/net/timer.h"
#include "peer_transport.h"

namespace gentianlug::gateway {

/// Moving averages over the successful calls of a route at this node.
struct route_averages {
  double ResponseBytes = 0;
  double AttemptMillis = 0;
};

class entry_call;

/// State of the entry task that is shared by its calls.
struct entry_state {
  entry_state(task_context Context, node_location Location, serving_task &Local)
      : Context(Context), Location(std::move(Location)), Local(Local),
        Peers(Context) {}

  task_context Context;
  node_location Location;
  serving_task &Local;
  peer_transport Peers;
  mesh::load_balancer Balancer;
  mesh::version_policy Versions;
  std::set<zone_name> ZonesOutOfService;
  service_name LocalService;
  std::unordered_map<route_name, route_averages> RouteAverages;
  /// Calls that have been started and not finished.
  std::unordered_map<const entry_call *, std::weak_ptr<entry_call>> OpenCalls;
};

/// Parameters of a call, fixed when it arrives.
struct call_plan {
  std::string CallId;
  route_name Route;
  /// Version of the configuration that defines the route.
  config_version ConfigVersion = 0;
  service_name Service;
  /// Client account that makes the call; empty if there is none.
  account_name Account;
  bool Idempotent = false;
  std::uint32_t MaxAttempts = 1;
  std::uint32_t QueuePriority = 0;
  /// ID of the call for which the local server makes this call; "" if it was
  /// not made by the local server.
  std::string EnclosingId;
  bool InheritedRetry = false;
  std::chrono::milliseconds TargetLatency{0};
  steady_time ArrivedAt;
  steady_time Deadline;
};

/// A call from a caller, from its arrival to its response.
class entry_call final : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(entry_state &Entry, std::shared_ptr<http1::exchange> Exchange,
             call_plan Plan);

  void start();
  /// Answers the call now, because the node is about to end. Its attempts are
  /// canceled.
  void onNodeEnding();

private:
  struct running_attempt {
    node_id Node;
    bool IsLocal = false;
    call_transport::ticket Ticket = 0;
    steady_time StartedAt;
    /// Counted in `DeliveredAttempts` before its result is known, because
    /// another attempt was started in parallel.
    bool CountedAsDelivered = false;
  };

  void startNextAttempt();
  /// Switches to the version before a rollout. Calls must not fail because the
  /// new version has no servers or free slots while the old one has.
  void fallBackToBaseVersion();
  void send(const mesh::server_record &Target);
  call_transport &transportFor(bool IsLocal);
  /// Notes that the server has said in its response that it is leaving. The
  /// node beside the server may forget that with a restart.
  void readNotice(const serving_result &Result, const std::string &Instance,
                  incarnation_number Incarnation);
  void onAttemptEnded(const node_id &Node, serving_result Result);
  /// Removes the attempt at \p Node from the running ones and counts it if it
  /// reached a server. Returns the time that it took.
  std::chrono::milliseconds countAttempt(const node_id &Node,
                                         serving_outcome Outcome);
  /// Records how an attempt ended, for the log line of a failed call.
  void recordAttemptOutcome(const node_id &Node, const std::string &Outcome);
  void onAttemptRefused(const std::string &Reason);
  void onServerResponse(serving_result Result,
                        std::chrono::milliseconds AttemptTime);
  void recordSuccess(std::size_t ResponseBytes,
                     std::chrono::milliseconds AttemptTime);
  void onDeadline();
  /// Fails the call without a result of its running attempts, which may have
  /// been executed.
  void failDuringAttempts(const std::string &Reason);
  void startHedgedAttempt();
  void onCallerDisconnected();
  void cancelAttempts();
  void fail(const std::string &Reason);
  void sendLocalResponse(int Status, const std::string &Reason);
  void finish(http1::response Response);
  bool canRetry() const;
  /// Returns whether the expected response is large enough to wait for a server
  /// in the local zone.
  bool shouldWaitForLocalZone(const mesh::selection_criteria &Criteria) const;
  /// Tries the servers in the local zone again.
  void retryLocalZone();
  std::chrono::milliseconds remainingTime() const;
  std::chrono::milliseconds age() const;
  mesh::selection_criteria selectionCriteria() const;

  entry_state &Entry;
  std::shared_ptr<http1::exchange> Exchange;
  call_plan Plan;
  net::timer DeadlineTimer;
  net::timer HedgeTimer;
  net::timer ZoneWaitTimer;
  std::vector<node_id> TriedNodes;
  std::vector<running_attempt> RunningAttempts;
  version_name Version;
  /// Attempts that reached a server.
  std::uint32_t DeliveredAttempts = 0;
  /// Whether an attempt may have been executed or may still be running.
  bool MayHaveRun = false;
  bool Finished = false;
  /// Reason given by the last node that refused the call.
  std::string LastRefusalReason;
  /// Nodes whose attempts did not succeed, each with the reason.
  std::string AttemptSummary;
  /// Error response of a server, forwarded to the caller if no other attempt
  /// succeeds.
  std::optional<http1::response> ServerErrorResponse;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ENTRY_CALL_H
