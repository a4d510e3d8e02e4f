#ifndef GENTIANLUG_STANDINS_LOAD_GENERATOR_H
#define GENTIANLUG_STANDINS_LOAD_GENERATOR_H

#include "caller_report.h"
#include "caller_settings.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <memory>

namespace gentianlug::standins {

/// Open-loop load generator: sends calls as a Poisson process, independent of
/// the completion of earlier calls, and checks the body of each response.
class load_generator {
public:
  load_generator(net::event_loop &Loop, caller_settings Settings);

  /// Starts the run. The loop is stopped when the last call has completed.
  void start();

  nlohmann::json report() const;

private:
  /// A call and its attempts.
  struct call {
    const call_kind *Kind = nullptr;
    std::string Order;
    std::string ExpectedBody;
    net::http_request Request;
    steady_time DueTime{};
    std::size_t Target = 0;
    std::uint32_t Attempts = 0;
  };
  using call_ptr = std::shared_ptr<call>;

  void sendDueCalls();
  call_ptr makeCall();
  const call_kind &drawKind();
  void sendAttempt(const call_ptr &Call);
  void onResponse(const call_ptr &Call,
                  const result<net::http_response> &Response);
  void stopIfDone();

  caller_settings Settings;
  net::event_loop &Loop;
  gentianlug::system_clock Clock;
  generator Gen;
  net::http_client Client;
  net::timer NextCallTimer;
  caller_report Report;
  steady_time StartTime{};
  wall_time StartWallTime{};
  steady_time NextDue{};
  steady_time LastCompletion{};
  std::uint64_t NextCallNumber = 0;
  std::size_t InFlight = 0;
  bool AllSent = false;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_LOAD_GENERATOR_H
