#ifndef GENTIANLUG_MESH_SERVING_GATE_H
#define GENTIANLUG_MESH_SERVING_GATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/model.h"
#include "gentianlug/mesh/repeat_budget.h"
#include "gentianlug/mesh/serving_report.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace gentianlug::mesh {

/// Number of a call at this node.
using call_ticket = std::uint64_t;

/// Why a call was refused before it reached the server.
enum class gate_refusal : std::uint8_t {
  /// No server is known, or another one than the call was meant for.
  NoServer,
  /// The server leaves.
  Draining,
  /// It is not known whether the server runs and bears load.
  Unconfirmed,
  /// Operators have taken the zone out.
  ZoneOut,
  /// The version of the server gets no calls.
  VersionClosed,
  /// The server is cold and has got what it bears in this second.
  Cold,
  /// The link of the machine has more to send than it takes in time.
  LinkBusy,
  /// No slot in time.
  Busy,
  /// The repeats of the service are used up.
  RepeatsSpent,
  /// Too little time is left.
  Late,
  /// The node stops.
  Stopping,
};

/// Returns the reason as a word, for logs and messages.
const char *describe(gate_refusal Reason);

/// A call at the gate.
struct offered_call {
  call_ticket Ticket = 0;
  /// Start of the server that the call is meant for; "" for any.
  std::string Instance;
  /// 0 goes first.
  std::uint32_t Rank = 0;
  steady_time Deadline{};
  /// The call leaves the queue after this time.
  std::chrono::milliseconds MaxWait{0};
  /// The call has been sent to a server before.
  bool Repeat = false;
  /// A repeated run of another server makes the call.
  bool InheritedRepeat = false;
  /// Size of the answer, as far as it can be foreseen.
  std::size_t ExpectedBytes = 0;
};

struct gate_action {
  enum class kind : std::uint8_t { Start, Refuse };
  kind Kind = kind::Start;
  call_ticket Ticket = 0;
  gate_refusal Reason = gate_refusal::Busy;
};

/// The server beside this node, as far as the gate depends on it.
struct gated_server {
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
class serving_gate {
public:
  serving_gate() = default;

  /// Takes a server, or none. Another instance starts unconfirmed.
  void setServer(const std::optional<gated_server> &Next);
  /// The server stays cold until then.
  void setColdUntil(steady_time Until) { ColdUntil = Until; }
  /// Whether the server is known to run and how warm it is.
  void setConfirmed(bool Next) { Confirmed = Next; }
  /// Closes the gate for a reason, or opens it.
  void setClosed(const std::optional<gate_refusal> &Reason) { Closed = Reason; }
  repeat_budget &repeats() { return Repeats; }
  /// Bandwidth of the link that answers leave by; 0 when it has no bound.
  void setLinkBytesPerSecond(double Rate) { LinkBytesPerSecond = Rate; }
  /// Bytes that wait to be sent now.
  void setUnsentBytes(std::size_t Bytes) { UnsentBytes = Bytes; }

  void offer(const offered_call &Call, steady_time Now);
  /// A started call has ended after \p Time at the server. A call that the
  /// server itself turned away or that was canceled has no time.
  void finish(call_ticket Ticket,
              std::optional<std::chrono::milliseconds> Time);
  /// Forgets a call that waits.
  void withdraw(call_ticket Ticket);
  std::vector<gate_action> advance(steady_time Now);
  /// Returns when `advance` has to run at the latest, if calls wait.
  std::optional<steady_time> nextEvent(steady_time Now) const;

  serving_report report(steady_time Now) const;
  std::uint32_t running() const { return std::uint32_t(Running.size()); }
  /// Returns the share of the running calls that are repeats.
  double repeatShare() const;
  bool confirmed() const { return Confirmed; }
  bool isCold(steady_time Now) const { return Now < ColdUntil; }
  const std::optional<gated_server> &server() const { return Server; }

private:
  struct waiting_call {
    offered_call Call;
    steady_time LeavesAt;
  };
  struct running_call {
    bool Repeat = false;
    std::size_t ExpectedBytes = 0;
  };

  std::optional<gate_refusal> refusal(const offered_call &Call,
                                      steady_time Now) const;
  std::uint32_t startsInWindow(steady_time Now);
  std::uint32_t coldLimit() const;
  bool mayStart(steady_time Now);
  std::chrono::milliseconds serviceTime() const;
  std::chrono::milliseconds linkTime() const;
  void start(const offered_call &Call, steady_time Now);
  void refuse(call_ticket Ticket, gate_refusal Reason);

  std::optional<gated_server> Server;
  bool Confirmed = false;
  std::optional<gate_refusal> Closed;
  steady_time ColdUntil{};
  repeat_budget Repeats;
  std::vector<waiting_call> Queue;
  std::unordered_map<call_ticket, running_call> Running;
  double LinkBytesPerSecond = 0;
  std::size_t UnsentBytes = 0;
  /// Starts within the last second, oldest first.
  std::deque<steady_time> Starts;
  std::vector<gate_action> Actions;
  double ServiceTimeMs = 0;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVING_GATE_H
