#ifndef GENTIANLUG_GATEWAY_ENTRY_CALL_H
#define GENTIANLUG_GATEWAY_ENTRY_CALL_H

#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/net/timer.h"
#include "peer_port.h"

namespace gentianlug::gateway {

/// State of the entry task that its calls use.
struct entry_state {
  entry_state(task_context Context, node_place Place, serving_task &Local)
      : Context(Context), Place(std::move(Place)), Local(Local),
        Peers(Context.Loop) {}

  task_context Context;
  node_place Place;
  serving_task &Local;
  peer_port Peers;
  mesh::server_picker Picker;
  mesh::version_policy Versions;
  std::set<zone_name> ZonesOut;
  service_name LocalService;
  /// Moving average of the answer sizes of each route, in bytes.
  std::unordered_map<route_name, double> AnswerBytes;
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
  bool InheritedRepeat = false;
  std::chrono::milliseconds TargetLatency{0};
  steady_time Arrived;
  steady_time Deadline;
};

/// One call of a caller, from its arrival to its answer.
class entry_call final : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(entry_state &Entry, std::shared_ptr<http1::exchange> Exchange,
             call_plan Plan);

  void start();

private:
  struct running_try {
    node_id Node;
    bool AtLocal = false;
    serving_port::ticket Ticket = 0;
  };

  void tryNext();
  /// Turns to the version before a rollout: a new version without servers or
  /// room must not cost calls that the old one can take.
  void leaveNewVersion();
  void send(const mesh::server_record &Target);
  serving_port &portOf(bool AtLocal);
  void onEnded(const node_id &Node, serving_result Result);
  /// Notes how a try ended, for the log line of a call that fails.
  void noteAsked(const node_id &Node, const std::string &Outcome);
  void onRefused(const std::string &Reason);
  void onAnswered(serving_result Result);
  void learnSize(std::size_t Bytes);
  void onDeadline();
  void startSecondTry();
  void onCallerGone();
  void cancelRunning();
  void giveUp(const std::string &Reason);
  void answerOwn(int Status, const std::string &Reason);
  void finish(http1::response Answer);
  bool mayRepeat() const;
  /// Returns whether the answer is worth a wait for a server of the own zone.
  bool staysInZone(const mesh::pick_request &Request) const;
  /// Asks the servers of the own zone anew.
  void askZoneAgain();
  std::chrono::milliseconds timeLeft() const;
  std::chrono::milliseconds age() const;
  mesh::pick_request pickRequest() const;

  entry_state &Entry;
  std::shared_ptr<http1::exchange> Exchange;
  call_plan Plan;
  net::timer DeadlineTimer;
  net::timer SecondTryTimer;
  net::timer ZoneWaitTimer;
  std::vector<node_id> Tried;
  std::vector<running_try> Running;
  version_name Version;
  /// Tries that reached a server.
  std::uint32_t Arrivals = 0;
  /// Some try may have run, or may still run.
  bool MayHaveRun = false;
  bool Finished = false;
  /// Why the last node that refused the call did so.
  std::string LastRefusal;
  /// The nodes that did not answer well, each with its reason.
  std::string Asked;
  /// A failure that the server gave, for the case that nothing better comes.
  std::optional<http1::response> ServerFailure;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_ENTRY_CALL_H
