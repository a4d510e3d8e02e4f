#include "memory_report.h"

namespace gentianlug::gateway {

using memory::holder_kind;

static void reportShortage(const task_context &Context, holder_kind Kind,
                           bool Evicted) {
  const memory::memory_budget &Budget = Context.Memory.budget();
  Context.Metrics.count(std::string("memory_refusals_total{held=\"") +
                        memory::describe(Kind) + "\",evicted=\"" +
                        (Evicted ? "1" : "0") + "\"}");
  Context.Log.write(observe::event::MemoryShort,
                    {{"held", memory::describe(Kind)},
                     {"evicted", Evicted ? 1 : 0},
                     {"held_bytes", std::int64_t(Budget.heldBytes())},
                     {"max_bytes", std::int64_t(Budget.totalBytes())}});
}

void observeMemory(const task_context &Context) {
  Context.Memory.setObserver([Context](holder_kind Kind, bool Evicted) {
    reportShortage(Context, Kind, Evicted);
  });
}

void updateMemoryMetrics(const task_context &Context) {
  const memory::memory_budget &Budget = Context.Memory.budget();
  for (holder_kind Kind : {holder_kind::Request, holder_kind::Call,
                           holder_kind::Response, holder_kind::Delivery})
    Context.Metrics.gauge(std::string("memory_held_bytes{held=\"") +
                              memory::describe(Kind) + "\"}",
                          double(Budget.heldBytes(Kind)));
  Context.Metrics.gauge("memory_max_bytes", double(Budget.totalBytes()));
}

} // namespace gentianlug::gateway
