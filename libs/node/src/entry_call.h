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

/// One call of a caller: its tries, the question after a missing answer, and
/// the answer to the caller.
class entry_call : public std::enable_shared_from_this<entry_call> {
public:
  /// What the entry proxy has found out about the call.
  struct details {
    call_parameters Parameters;
    routing::call_limits Limits;
    /// Both belong to the configuration of `Snapshot`.
    const config::route *Route = nullptr;
    const config::service *Service = nullptr;
    std::shared_ptr<const routing_snapshot> Snapshot;
  };

  /// \param Ended runs once, when nothing of the call is under way any more.
  entry_call(entry_state &State, net::http_exchange Exchange, details Details,
             std::function<void()> Ended);
  ~entry_call();

  /// Sends the first try.
  void start();

private:
  /// One try at one endpoint.
  struct attempt {
    std::uint32_t Number = 1;
    node_id Node;
    address Peer;
    incarnation_number ServerIncarnation = 0;
    net::http_client::request_id Request = 0;
    steady_time Started{};
    /// Status, headers and, up to a bound, the body of the answer.
    std::optional<net::http_response> Answer;
    bool Streaming = false;
    /// The answer belongs to another call or another life of the server.
    bool Mismatched = false;
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  void sendAttempt();
  void open(const attempt_ptr &Try, net::connection_choice Choice);
  void onHead(const attempt_ptr &Try, const net::http_response &Head);
  void onPart(const attempt_ptr &Try, std::string_view Part);
  void onEnd(const attempt_ptr &Try, const result<void> &End);
  void onSilence();

  void startStreaming(const attempt_ptr &Try);
  void onAnswered(const attempt_ptr &Try);
  void onAttemptLost(const attempt_ptr &Try, routing::attempt_outcome Outcome,
                     const std::string &Reason);

  void queryCallState(const attempt_ptr &Try);
  void onCallState(const attempt_ptr &Try, result<net::http_response> Reply);
  void retryStateQuery(const attempt_ptr &Try, std::chrono::milliseconds Delay);
  void runLater(std::chrono::milliseconds Delay, std::function<void()> Action);

  bool retry(routing::attempt_outcome Outcome, const std::string &Reason);
  void settle();
  void deliver(net::http_response Answer);
  void fail(int Status, const char *Outcome, const std::string &Reason);
  void cancelAttempts(routing::call_outcome Verdict, const attempt *Except);
  void observe(const attempt &Try, routing::call_outcome Verdict);
  void end(const char *Outcome);

  bool isInFlight(const attempt *Try) const;
  routing::retry_budget &budget();

  entry_state &State;
  net::http_exchange Exchange;
  details Details;
  std::function<void()> Ended;
  steady_time Started;
  net::http_request Forwarded;
  version_name Version;
  std::vector<attempt_ptr> InFlight;
  std::vector<node_id> TriedNodes;
  std::uint32_t Tries = 0;
  /// Whether the serving node is being asked about a try, now or after a
  /// pause, and the request that asks.
  bool StateQueryActive = false;
  std::optional<net::http_client::request_id> StateQuery;
  /// Some try may have run.
  bool MayHaveRun = false;
  bool RetryForbidden = false;
  /// A retry waits for its time.
  bool RetryPending = false;
  /// Part of the answer is on its way to the caller.
  bool AnswerStarted = false;
  bool Done = false;
  std::string LastReason;
  net::timer SilenceTimer;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ENTRY_CALL_H
