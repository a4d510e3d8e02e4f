#ifndef GENTIANLUG_NODE_ENTRY_CALL_H
#define GENTIANLUG_NODE_ENTRY_CALL_H

#include "call_request.h"
#include "entry_state.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/routing/retry_rules.h"

#include <memory>
#include <optional>
#include <vector>

namespace gentianlug::node {

/// One call of a caller: its attempts, the state query after a missing
/// response, and the response to the caller.
class entry_call : public std::enable_shared_from_this<entry_call> {
public:
  /// Parameters, limits and routing of a call, resolved by the entry proxy.
  struct details {
    call_parameters Parameters;
    routing::call_limits Limits;
    /// Both belong to the configuration of `Snapshot`.
    const config::route *Route = nullptr;
    const config::service *Service = nullptr;
    std::shared_ptr<const routing_snapshot> Snapshot;
  };

  /// \param OnCompleted runs once, when the call has completed.
  entry_call(entry_state &State, net::http_exchange Exchange, details Details,
             std::function<void()> OnCompleted);
  ~entry_call();

  /// Sends the first attempt.
  void start();

private:
  /// One attempt at one endpoint.
  struct attempt {
    std::uint32_t Number = 1;
    node_id Node;
    address Peer;
    incarnation_number ServerIncarnation = 0;
    net::http_client::request_id Request = 0;
    steady_time Started{};
    /// Status, headers and, up to `MaxBufferedResponseBytes`, the body.
    std::optional<net::http_response> Response;
    bool Streaming = false;
    /// The response belongs to another call or to an earlier incarnation of
    /// the server.
    bool Mismatched = false;
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  void sendAttempt();
  void openAttempt(const attempt_ptr &Attempt, net::connection_choice Choice);
  void onHead(const attempt_ptr &Attempt, const net::http_response &Head);
  void onPart(const attempt_ptr &Attempt, std::string_view Part);
  void onEnd(const attempt_ptr &Attempt, const result<void> &End);
  void onSlowResponse();

  void startStreaming(const attempt_ptr &Attempt);
  void onResponse(const attempt_ptr &Attempt);
  void onAttemptLost(const attempt_ptr &Attempt,
                     routing::attempt_outcome Outcome,
                     const std::string &Reason);

  void queryCallState(const attempt_ptr &Attempt);
  void onCallState(const attempt_ptr &Attempt,
                   result<net::http_response> Reply);
  void retryStateQuery(const attempt_ptr &Attempt,
                       std::chrono::milliseconds Delay);
  void runAfter(std::chrono::milliseconds Delay, std::function<void()> Action);

  bool retry(routing::attempt_outcome Outcome, const std::string &Reason);
  void failIfExhausted();
  void deliverResponse(net::http_response Response);
  void fail(int Status, const char *Outcome, const std::string &Reason);
  void cancelAttempts(routing::call_outcome Outcome, const attempt *Excluded);
  void recordOutcome(const attempt &Attempt, routing::call_outcome Outcome);
  void end(const char *Outcome);

  bool isInFlight(const attempt *Attempt) const;
  routing::retry_budget &budget();

  entry_state &State;
  net::http_exchange Exchange;
  details Details;
  std::function<void()> OnCompleted;
  steady_time Started;
  net::http_request Forwarded;
  version_name Version;
  std::vector<attempt_ptr> InFlight;
  std::vector<node_id> TriedNodes;
  std::uint32_t AttemptCount = 0;
  /// A state query is in flight or scheduled.
  bool StateQueryActive = false;
  /// The state query in flight.
  std::optional<net::http_client::request_id> StateQuery;
  /// Some attempt may have run on the server.
  bool MayHaveRun = false;
  bool RetryForbidden = false;
  /// A retry is scheduled.
  bool RetryPending = false;
  /// The response head has been sent to the caller.
  bool ResponseStarted = false;
  bool Done = false;
  std::string LastReason;
  net::timer SlowResponseTimer;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ENTRY_CALL_H
