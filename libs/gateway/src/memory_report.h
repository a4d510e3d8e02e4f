#ifndef GENTIANLUG_GATEWAY_MEMORY_REPORT_H
#define GENTIANLUG_GATEWAY_MEMORY_REPORT_H

#include "gentianlug/gateway/task_context.h"

namespace gentianlug::gateway {

/// Logs and counts from now on what has to give way for lack of memory.
/// The objects of \p Context must outlive its memory guard's last change.
void observeMemory(const task_context &Context);

/// Sets the metrics of the bytes that the node holds for others.
void updateMemoryMetrics(const task_context &Context);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_MEMORY_REPORT_H
