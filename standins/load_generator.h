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

/// Sends calls at random times of a given rate, whether earlier calls have
/// ended or not, and checks each answer in full.
class load_caller {
public:
  load_caller(net::event_loop &Loop, caller_settings Settings);

  /// Sends the first call. The loop stops when the last call has ended.
  void start();

  nlohmann::json report() const;

private:
  /// One call with its tries.
  struct call {
    const call_kind *Kind = nullptr;
    std::string Order;
    std::string ExpectedBody;
    net::http_request Request;
    steady_time Due{};
    std::size_t Target = 0;
    std::uint32_t Tries = 0;
  };
  using call_ptr = std::shared_ptr<call>;

  void sendDue();
  call_ptr makeCall();
  const call_kind &drawKind();
  void sendTry(const call_ptr &Call);
  void onAnswer(const call_ptr &Call, const result<net::http_response> &Answer);
  void stopWhenDone();

  caller_settings Settings;
  net::event_loop &Loop;
  gentianlug::system_clock Clock;
  generator Gen;
  net::http_client Client;
  net::timer NextTimer;
  caller_report Report;
  steady_time Start{};
  wall_time StartWall{};
  steady_time NextDue{};
  steady_time LastEnd{};
  std::uint64_t Number = 0;
  std::size_t InFlight = 0;
  bool AllSent = false;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_LOAD_GENERATOR_H
