#ifndef GENTIANLUG_OPERATOR_OPERATION_DRIVER_H
#define GENTIANLUG_OPERATOR_OPERATION_DRIVER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>

namespace gentianlug::operator_cli {

/// Blocks a command until an asynchronous operation completes or a delay has
/// passed. Tests implement it with a manual clock, so that they do not wait.
class operation_driver : public clock {
public:
  /// Blocks until `wake` is called.
  virtual void wait() = 0;
  virtual void wake() = 0;

  /// Blocks for \p Delay.
  virtual void sleepFor(std::chrono::milliseconds Delay) = 0;
};

/// Runs the event loop while it waits, so that pending operations complete.
class event_loop_driver final : public operation_driver {
public:
  explicit event_loop_driver(net::event_loop &Loop) : Loop(Loop) {}

  void wait() override { Loop.run(); }
  void wake() override { Loop.stop(); }
  void sleepFor(std::chrono::milliseconds Delay) override;
  steady_time steadyNow() const override { return SystemClock.steadyNow(); }
  wall_time wallNow() const override { return SystemClock.wallNow(); }

private:
  net::event_loop &Loop;
  gentianlug::system_clock SystemClock;
};

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_OPERATION_DRIVER_H
