#ifndef GENTIANLUG_GATEWAY_TESTS_TASK_FIXTURE_H
#define GENTIANLUG_GATEWAY_TESTS_TASK_FIXTURE_H

#include "gentianlug/gateway/process_limits.h"
#include "gentianlug/gateway/task_context.h"
#include "loop_fixture.h"

#include <fcntl.h>

namespace gentianlug::gateway {

/// Call dialect for a context in which no calls are sent.
class null_dialect final : public call_dialect {
public:
  call_parameters readCallParameters(const http1::request &) const override {
    return {};
  }
  void removeAccountFields(http1::request &) const override {}
  void writeServerCall(http1::request &, const server_call &) const override {}
  response_class classifyResponse(const http1::response &) const override {
    return Class;
  }
  void addLocalResponseHeaders(
      http1::response &, const std::string &,
      std::optional<std::chrono::milliseconds>) const override {}
  const std::string &echoedHeader() const override { return Field; }
  health_report readHealth(const http1::response &) const override {
    return Health;
  }
  server_notice readServerNotice(const http1::response &) const override {
    return Notice;
  }

  /// Notice that every response carries.
  server_notice Notice;
  /// What every response of a health check says.
  health_report Health;
  response_class Class = response_class::Final;

private:
  std::string Field;
};

/// Clock that can be stopped and advanced, so that no decision depends on the
/// load of the machine.
class test_clock final : public clock {
public:
  steady_time steadyNow() const override {
    return StoppedAt ? *StoppedAt : Real.steadyNow();
  }
  wall_time wallNow() const override { return Real.wallNow(); }
  void stop() { StoppedAt = Real.steadyNow(); }
  /// Stops the clock and moves it forward by \p Step.
  void advance(std::chrono::milliseconds Step) {
    StoppedAt = steadyNow() + Step;
  }

private:
  boottime_clock Real;
  std::optional<steady_time> StoppedAt;
};

/// The objects of a task context, with a log that is discarded.
struct task_environment {
  net::event_loop Loop;
  test_clock Clock;
  null_dialect Dialect;
  observe::metric_set Metrics;
  generator Gen{1};
  int NullFd = open("/dev/null", O_WRONLY);
  event_log Log{NullFd, "test"};
  http1::memory_guard Memory{maxMessageBytes({})};

  ~task_environment() { close(NullFd); }
  task_context context() {
    return {Loop, Clock, Dialect, Log, Metrics, Gen, Memory};
  }
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_TESTS_TASK_FIXTURE_H
