#ifndef GENTIANLUG_NET_TIMER_H
#define GENTIANLUG_NET_TIMER_H

#include <chrono>
#include <functional>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// A timer in an event loop. Destroying it cancels it.
class timer {
public:
  timer(event_loop &Loop, std::function<void()> Action);
  ~timer();
  timer(timer &&) noexcept;
  timer &operator=(timer &&) noexcept;

  /// Runs the action once after \p Delay. Replaces any earlier start.
  void startOnce(std::chrono::microseconds Delay);

  /// Runs the action every \p Period until canceled. Replaces any earlier
  /// start.
  void startEvery(std::chrono::microseconds Period);

  void cancel();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TIMER_H
