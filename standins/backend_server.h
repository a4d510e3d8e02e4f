#ifndef GENTIANLUG_STANDINS_BACKEND_SERVER_H
#define GENTIANLUG_STANDINS_BACKEND_SERVER_H

#include "gentianlug/core/random.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"
#include "server_counters.h"
#include "server_listener.h"
#include "server_load.h"
#include "server_settings.h"

#include <map>

namespace gentianlug::standins {

/// Simulates a backend server: limited slots, slow warm-up, overload crashes,
/// version faults and inaccurate load reports.
class backend_server {
public:
  backend_server(net::event_loop &Loop, server_settings Settings);

  /// Starts to listen and to announce the server to its node.
  result<void> listen();

  /// Announces the draining state and stops the loop once all calls are done
  /// and no new ones arrive.
  void drain();

private:
  using request_id = server_listener::request_id;

  /// A queued or running call.
  struct call {
    net::http_request Request;
    steady_time ArrivalTime;
    std::optional<steady_time> Deadline;
    /// Fires when the call ends; set while the call runs.
    std::unique_ptr<net::timer> ServiceTimer;
    fault_kind Fault = fault_kind::None;
  };

  void onRequest(request_id Id, net::http_request Request);
  void onClientDisconnected(request_id Id);
  void onControlRequest(request_id Id, const net::http_request &Request);
  void onProbe(request_id Id);
  void updateBehaviour(request_id Id, const std::string &Body);

  void startQueuedCalls();
  void startCall(request_id Id, call &Call);
  void finishCall(request_id Id);
  void swapResponse(request_id Id, net::http_response Response);
  void removeCall(request_id Id);
  fault_kind drawFault(const net::http_request &Request);
  std::chrono::microseconds drawServiceTime(fault_kind Fault);
  net::http_response makeResponse(const net::http_request &Request) const;

  void checkLoad();
  void crash();
  void recoverFromCrash();
  void simulateRestart();

  void announce();
  nlohmann::json loadReport();

  server_settings Settings;
  net::event_loop &Loop;
  gentianlug::system_clock Clock;
  generator Gen;
  net::http_client Client;
  server_listener Listener;
  server_counters Counters;
  server_load Load;
  steady_time StartTime;
  std::map<request_id, call> Calls;
  /// Past load reports, for `load_report_mode::Delayed`.
  std::deque<std::pair<steady_time, nlohmann::json>> LoadReports;
  net::timer AnnounceTimer;
  net::timer LoadTimer;
  net::timer RecoveryTimer;
  net::timer DrainTimer;
  /// A response that waits for a second one to swap with.
  std::optional<std::pair<request_id, net::http_response>> HeldResponse;
  net::timer HeldResponseTimer;
  steady_time LastArrival;
  bool Draining = false;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_BACKEND_SERVER_H
