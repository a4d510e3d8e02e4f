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

/// A backend server with slots, cold starts, faults and counters.
class backend_server {
public:
  backend_server(net::event_loop &Loop, server_settings Settings);

  /// Starts to listen and to announce.
  result<void> listen();

  /// Announces draining, finishes all calls, then stops the loop.
  void drain();

private:
  using request_id = server_listener::request_id;

  /// One call inside the server.
  struct call {
    net::http_request Request;
    steady_time Arrived;
    std::optional<steady_time> Deadline;
    /// Set while the call runs.
    std::unique_ptr<net::timer> Work;
    fault_kind Fault = fault_kind::None;
  };

  void onRequest(request_id Id, net::http_request Request);
  void onClientGone(request_id Id);
  void onCommand(request_id Id, const net::http_request &Request);
  void onProbe(request_id Id);
  void changeBehaviour(request_id Id, const std::string &Body);

  void runWaiting();
  void run(request_id Id, call &Call);
  void finish(request_id Id);
  void swapAnswer(request_id Id, net::http_response Response);
  void forget(request_id Id);
  fault_kind drawFault(const net::http_request &Request);
  std::chrono::microseconds workTime(fault_kind Fault);
  net::http_response makeAnswer(const net::http_request &Request) const;

  void checkLoad();
  void fallOver();
  void recover();
  void restartCold();

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
  steady_time Started;
  std::map<request_id, call> Calls;
  /// Older load reports, for the lagging report.
  std::deque<std::pair<steady_time, nlohmann::json>> Reports;
  net::timer AnnounceTimer;
  net::timer LoadTimer;
  net::timer RecoveryTimer;
  net::timer DrainTimer;
  /// An answer that waits to be exchanged with the next one.
  std::optional<std::pair<request_id, net::http_response>> Held;
  net::timer HeldTimer;
  steady_time LastNewCall;
  bool Draining = false;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_BACKEND_SERVER_H
