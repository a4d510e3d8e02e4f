#ifndef GENTIANLUG_GATEWAY_TASK_CONTEXT_H
#define GENTIANLUG_GATEWAY_TASK_CONTEXT_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/gateway/call_dialect.h"
#include "gentianlug/gateway/event_log.h"
#include "gentianlug/http1/memory_guard.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/observe/metrics.h"

namespace gentianlug::gateway {

/// Objects shared by the tasks of a node, all of which outlive the tasks.
struct task_context {
  net::event_loop &Loop;
  const clock &Clock;
  const call_dialect &Dialect;
  event_log &Log;
  observe::metric_set &Metrics;
  generator &Gen;
  http1::memory_guard &Memory;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_TASK_CONTEXT_H
