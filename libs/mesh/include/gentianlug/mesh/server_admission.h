#ifndef GENTIANLUG_MESH_SERVER_ADMISSION_H
#define GENTIANLUG_MESH_SERVER_ADMISSION_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/load_report.h"
#include "gentianlug/mesh/model.h"
#include "gentianlug/mesh/retry_budget.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace gentianlug::mesh {

/// Number of a call at this node.
using local_call_id = std::uint64_t;

/// Why a call was refused before it reached the server.
enum class rejection_reason : std::uint8_t {
  /// No server is known, or another one than the call was meant for.
  NoServer,
  /// The server leaves.
  Draining,
  /// It is not known whether the server runs and bears load.
  Unconfirmed,
  /// Operators have taken the zone out.
  ZoneOutOfService,
  /// The version of the server gets no calls.
  VersionNotServing,
  /// The server is cold and has got what it bears in this second.
  ColdStartLimit,
  /// The link of the machine has more to send than it takes in time.
  LinkSaturated,
  /// No slot in time.
  Overloaded,
  /// The repeats of the service are used up.
  RetryBudgetExhausted,
  /// Too little time is left.
  DeadlineTooNear,
  /// The node stops.
  Stopping,
};

/// Returns the reason as a word, for logs and messages.
const char *describe(rejection_reason Reason);

/// A call at the gate.
struct incoming_call {
  local_call_id Id = 0;
  /// Start of the server that the call is meant for; "" for any.
  std::string Instance;
  /// 0 goes first.
  std::uint32_t QueuePriority = 0;
  steady_time Deadline{};
  /// The call leaves the queue after this time.
  std::chrono::milliseconds MaxQueueTime{0};
  /// The call has been sent to a server before.
  bool IsRetry = false;
  /// A repeated run of another server makes the call.
  bool InheritedRetry = false;
  /// Size of the answer, as far as it can be foreseen.
  std::size_t ExpectedResponseBytes = 0;
};

struct admission_decision {
  enum class kind : std::uint8_t { Start, Reject };
  kind Kind = kind::Start;
  local_call_id Id = 0;
  rejection_reason Reason = rejection_reason::Overloaded;
};

/// The server beside this node, as far as the gate depends on it.
struct admitted_server {
  std::string Instance;
  std::uint32_t Slots = 1;
  /// Calls a second that it bears while cold.
  double ColdCallsPerSecond = 0;
};

/// Decides which calls reach the server beside this node.
///
/// It is the only way to the server, so what is counted here holds exactly.
/// Events change the state; `advance` returns what is to be done. The queue is
/// bounded by the slots.
class server_admission {
public:
  server_admission() = default;

  /// Takes a server, or none. Another instance starts unconfirmed.
  void setServer(const std::optional<admitted_server> &Next);
  /// The server stays cold until then.
  void setColdStartEnd(steady_time Until) { ColdUntil = Until; }
  /// Whether the server is known to run and how warm it is.
  void setConfirmed(bool Next) { Confirmed = Next; }
  /// Closes the gate for a reason, or opens it.
  void setBlockReason(const std::optional<rejection_reason> &Reason) {
    BlockReason = Reason;
  }
  retry_budget &retryBudget() { return RetryBudget; }
  /// Bandwidth of the link that answers leave by; 0 when it has no bound.
  void setLinkBytesPerSecond(double Rate) { LinkBytesPerSecond = Rate; }
  /// Bytes that wait to be sent now.
  void setUnsentBytes(std::size_t Bytes) { UnsentBytes = Bytes; }

  void submit(const incoming_call &Call, steady_time Now);
  /// A started call has ended after \p Time at the server. A call that the
  /// server itself turned away or that was canceled has no time.
  void finish(local_call_id Ticket,
              std::optional<std::chrono::milliseconds> Time);
  /// Forgets a call that waits.
  void removeQueued(local_call_id Ticket);
  std::vector<admission_decision> advance(steady_time Now);
  /// Returns when `advance` has to run at the latest, if calls wait.
  std::optional<steady_time> nextWakeup(steady_time Now) const;

  load_report report(steady_time Now) const;
  std::uint32_t running() const { return std::uint32_t(Running.size()); }
  /// Returns the share of the running calls that are repeats.
  double retryShare() const;
  bool confirmed() const { return Confirmed; }
  bool isCold(steady_time Now) const { return Now < ColdUntil; }
  const std::optional<admitted_server> &server() const { return Server; }

private:
  struct queued_call {
    incoming_call Call;
    steady_time ExpiresAt;
  };
  struct running_call {
    bool IsRetry = false;
    std::size_t ExpectedResponseBytes = 0;
  };

  std::optional<rejection_reason> findRejection(const incoming_call &Call,
                                                steady_time Now) const;
  std::uint32_t startsInWindow(steady_time Now);
  std::uint32_t coldLimit() const;
  bool hasCapacity(steady_time Now);
  std::chrono::milliseconds serviceTime() const;
  std::chrono::milliseconds linkBacklogTime() const;
  void start(const incoming_call &Call, steady_time Now);
  void reject(local_call_id Ticket, rejection_reason Reason);

  std::optional<admitted_server> Server;
  bool Confirmed = false;
  std::optional<rejection_reason> BlockReason;
  steady_time ColdUntil{};
  retry_budget RetryBudget;
  std::vector<queued_call> Queue;
  std::unordered_map<local_call_id, running_call> Running;
  double LinkBytesPerSecond = 0;
  std::size_t UnsentBytes = 0;
  /// Starts within the last second, oldest first.
  std::deque<steady_time> RecentStarts;
  std::vector<admission_decision> Decisions;
  double ServiceTimeMs = 0;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVER_ADMISSION_H
