#ifndef GENTIANLUG_MESH_SERVER_ADMISSION_H
#define GENTIANLUG_MESH_SERVER_ADMISSION_H

#include "gentianlug/admission/fair_scheduler.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/call_rate_limit.h"
#include "gentianlug/mesh/load_report.h"
#include "gentianlug/mesh/model.h"
#include "gentianlug/mesh/retry_budget.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace gentianlug::mesh {

/// Identifies a call within this node.
using local_call_id = std::uint64_t;

/// Why a call was rejected before it reached the server.
enum class rejection_reason : std::uint8_t {
  /// No server is known, or the call is addressed to another instance.
  NoServer,
  /// The server is shutting down.
  Draining,
  /// It is not known whether the server is running and how much load it
  /// can take.
  Unconfirmed,
  /// Operators have taken the zone out of service.
  ZoneOutOfService,
  /// The version of the server receives no calls.
  VersionNotServing,
  /// The server is cold and its call rate limit has been reached.
  ColdStartLimit,
  /// The server has named a limit of calls per second, and it has been reached.
  RateLimited,
  /// The send backlog of the network link is too long for a large response.
  LinkSaturated,
  /// The queue is full, or no slot became free in time.
  Overloaded,
  /// The retry budget of the service is exhausted.
  RetryBudgetExhausted,
  /// Too little time is left before the deadline.
  DeadlineTooNear,
  /// The node is shutting down.
  Stopping,
};

/// Returns the name of the reason that is used in logs and messages.
const char *describe(rejection_reason Reason);

/// Queue priority of calls that a server makes for a call that it runs.
inline constexpr std::uint32_t NestedCallPriority = 0;

/// A call that is to be run by the server.
struct incoming_call {
  local_call_id Id = 0;
  /// Instance id of the server that the call is addressed to; "" for any.
  std::string Instance;
  /// 0 is the highest, see `NestedCallPriority`.
  std::uint32_t QueuePriority = 0;
  /// Client account that makes the call; empty if there is none.
  account_name Account;
  steady_time Deadline{};
  /// Longest time that the call may wait in the queue.
  std::chrono::milliseconds MaxQueueTime{0};
  /// The call has already been sent to a server.
  bool IsRetry = false;
  /// The call was made while another server processed a retry.
  bool InheritedRetry = false;
  /// Estimated size of the response.
  std::size_t ExpectedResponseBytes = 0;
};

struct admission_decision {
  enum class kind : std::uint8_t { Start, Reject };
  kind Kind = kind::Start;
  local_call_id Id = 0;
  rejection_reason Reason = rejection_reason::Overloaded;
};

/// Properties of the local server that admission depends on.
struct admitted_server {
  std::string Instance;
  std::uint32_t Slots = 1;
  /// Calls per second that the server can process while cold.
  double ColdCallsPerSecond = 0;
  /// Tells a restarted server with the same instance id from the earlier one.
  incarnation_number Incarnation = 0;
};

/// Decides which calls reach the local server.
///
/// All calls to the server pass through this class, so its counts are exact.
/// The other functions record events; `advance` returns the decisions that
/// follow from them. The length of the queue is limited by the slots.
///
/// Calls of the same priority share the server fairly between their client
/// accounts: a free slot goes to the account that has been served least, and a
/// call that finds the queue full displaces one of the account with the most
/// queued calls. So an account that sends more than its share delays only
/// itself.
class server_admission {
public:
  server_admission() = default;

  /// Sets or clears the server. A new instance, or a new incarnation of it,
  /// starts unconfirmed and without a rate limit.
  void setServer(const std::optional<admitted_server> &Next);
  /// Sets when the cold start of the server ends.
  void setColdStartEnd(steady_time Until) { ColdUntil = Until; }
  /// Sets the limit of calls per second that the server has named, if any.
  void setRateLimit(std::optional<double> CallsPerSecond, steady_time Now) {
    RateLimit.setRate(CallsPerSecond, Now);
  }
  const std::optional<double> &rateLimit() const { return RateLimit.rate(); }
  /// Sets whether the server is known to run and how warm it is.
  void setConfirmed(bool Next) { Confirmed = Next; }
  /// Rejects all calls with \p Reason, or admits calls when it is empty.
  void setBlockReason(const std::optional<rejection_reason> &Reason) {
    BlockReason = Reason;
  }
  retry_budget &retryBudget() { return RetryBudget; }
  /// Sets the bandwidth for responses; 0 when it is unlimited.
  void setLinkBytesPerSecond(double Rate) { LinkBytesPerSecond = Rate; }
  /// Sets the number of bytes that are waiting to be sent.
  void setUnsentBytes(std::size_t Bytes) { UnsentBytes = Bytes; }

  void submit(const incoming_call &Call, steady_time Now);
  /// Ends a running call that took \p Time at the server. Calls that the server
  /// rejected or that were canceled have no time.
  void finish(local_call_id Id, std::optional<std::chrono::milliseconds> Time);
  /// Removes a call from the queue without a decision.
  void removeQueued(local_call_id Id);
  std::vector<admission_decision> advance(steady_time Now);
  /// Returns the latest time for the next `advance` if calls are queued.
  std::optional<steady_time> nextWakeup(steady_time Now) const;

  load_report report(steady_time Now) const;
  std::uint32_t running() const { return std::uint32_t(Running.size()); }
  bool confirmed() const { return Confirmed; }
  bool isCold(steady_time Now) const { return Now < ColdUntil; }
  const std::optional<admitted_server> &server() const { return Server; }

private:
  struct queued_call {
    incoming_call Call;
    steady_time ExpiresAt;
  };

  std::optional<rejection_reason> findRejection(const incoming_call &Call,
                                                steady_time Now) const;
  std::uint32_t startsInWindow(steady_time Now);
  std::uint32_t coldLimit() const;
  bool hasCapacity(steady_time Now);
  /// Returns the queued call that starts next: of those with the highest
  /// priority, the first one of the account that has been served least.
  /// Complexity: linear in the queue.
  std::vector<queued_call>::iterator nextQueued();
  /// Rejects a call if the queue is too long: of those with the lowest
  /// priority, the last one of the account with the most queued calls.
  void limitQueueLength();
  /// Rejects the last call of the queue if the rate limit makes it wait for too
  /// long.
  void limitQueuedTime(steady_time Now);
  std::chrono::milliseconds serviceTime() const;
  std::chrono::milliseconds linkBacklogTime() const;
  void start(const incoming_call &Call, steady_time Now);
  void reject(local_call_id Id, rejection_reason Reason);

  std::optional<admitted_server> Server;
  bool Confirmed = false;
  std::optional<rejection_reason> BlockReason;
  steady_time ColdUntil{};
  retry_budget RetryBudget;
  call_rate_limit RateLimit;
  /// Sorted by priority, then by arrival.
  std::vector<queued_call> Queue;
  admission::fair_scheduler Fairness;
  /// Expected response size of each running call, in bytes.
  std::unordered_map<local_call_id, std::size_t> Running;
  double LinkBytesPerSecond = 0;
  std::size_t UnsentBytes = 0;
  /// Start times within `ColdStartWindow`, oldest first.
  std::deque<steady_time> RecentStarts;
  std::vector<admission_decision> Decisions;
  double ServiceTimeMs = 0;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVER_ADMISSION_H
