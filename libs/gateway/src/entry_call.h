#ifndef GENTIANLUG_GATEWAY_ENTRY_CALL_H
#define GENTIANLUG_GATEWAY_ENTRY_CALL_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/net/timer.h"
#include "peer_transport.h"

namespace gentianlug::gateway {

/// State of the entry task that its calls use.
struct entry_state {
  entry_state(task_context Context, node_location Place, serving_task &Local)
      : Context(Context), Location(std::move(Place)), Local(Local),
        Peers(Context.Loop) {}

  task_context Context;
  node_location Location;
  serving_task &Local;
  peer_transport Peers;
  mesh::load_balancer Picker;
  mesh::version_policy Versions;
  std::set<zone_name> ZonesOutOfService;
  service_name LocalService;
  /// Moving average of the answer sizes of each route, in bytes.
  std::unordered_map<route_name, double> AverageResponseBytes;
};

/// What was decided about a call when it arrived.
struct call_plan {
  std::string CallId;
  route_name Route;
  /// Version of the configuration that the route is from.
  config_version ConfigVersion = 0;
  service_name Service;
  bool Idempotent = false;
  std::uint32_t MaxAttempts = 1;
  std::uint32_t Rank = 0;
  bool InheritedRetry = false;
  std::chrono::milliseconds TargetLatency{0};
  steady_time ArrivedAt;
  steady_time Deadline;
};

/// One call of a caller, from its arrival to its answer.
class entry_call final : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(entry_state &Entry, std::shared_ptr<http1::exchange> Exchange,
             call_plan Plan);

  void start();

private:
  struct running_attempt {
    node_id Node;
    bool IsLocal = false;
    call_transport::ticket Ticket = 0;
  };

  void startNextAttempt();
  /// Turns to the version before a rollout: a new version without servers or
  /// room must not cost calls that the old one can take.
  void fallBackToBaseVersion();
  void send(const mesh::server_record &Target);
  call_transport &transportFor(bool AtLocal);
  void onAttemptEnded(const node_id &Node, serving_result Result);
  /// Notes how a try ended, for the log line of a call that fails.
  void recordAttemptOutcome(const node_id &Node, const std::string &Outcome);
  void onAttemptRefused(const std::string &Reason);
  void onServerResponse(serving_result Result);
  void recordResponseSize(std::size_t Bytes);
  void onDeadline();
  void startHedgedAttempt();
  void onCallerDisconnected();
  void cancelAttempts();
  void fail(const std::string &Reason);
  void sendLocalResponse(int Status, const std::string &Reason);
  void finish(http1::response Answer);
  bool canRetry() const;
  /// Returns whether the answer is worth a wait for a server of the own zone.
  bool shouldWaitForOwnZone(const mesh::selection_criteria &Request) const;
  /// Asks the servers of the own zone anew.
  void retryOwnZone();
  std::chrono::milliseconds remainingTime() const;
  std::chrono::milliseconds age() const;
  mesh::selection_criteria pickRequest() const;

  entry_state &Entry;
  std::shared_ptr<http1::exchange> Exchange;
  call_plan Plan;
  net::timer DeadlineTimer;
  net::timer HedgeTimer;
  net::timer ZoneWaitTimer;
  std::vector<node_id> TriedNodes;
  std::vector<running_attempt> RunningAttempts;
  version_name Version;
  /// Tries that reached a server.
  std::uint32_t DeliveredAttempts = 0;
  /// Some try may have run, or may still run.
  bool MayHaveRun = false;
  bool Finished = false;
  /// Why the last node that refused the call did so.
  std::string LastRefusalReason;
  /// The nodes that did not answer well, each with its reason.
  std::string AttemptSummary;
  /// A failure that the server gave, for the case that nothing better comes.
  std::optional<http1::response> ServerErrorResponse;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ENTRY_CALL_H
