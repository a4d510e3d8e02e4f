#ifndef GENTIANLUG_GATEWAY_PROCESS_LIMITS_H
#define GENTIANLUG_GATEWAY_PROCESS_LIMITS_H

#include <cstddef>

namespace gentianlug::gateway {

/// Resources of the machine that the process may use.
struct process_limits {
  std::size_t MemoryBytes = 256UL << 20;
  std::size_t MaxDescriptors = 4100;
};

/// Returns the number of bytes that the process may hold of messages of others.
/// The rest is for the program, its configuration, the state of connections and
/// what the allocator cannot use.
std::size_t maxMessageBytes(const process_limits &Limits);

/// Maximum numbers of connections. Together they stay within the descriptors of
/// the process, so that callers cannot use up those that other nodes, the store
/// and the server need.
struct connection_limits {
  /// Connections of callers.
  std::size_t Callers = 0;
  /// Connections that other nodes have opened.
  std::size_t Nodes = 0;
  /// Calls of callers in flight; each may need a connection of its own.
  std::size_t Calls = 0;
};

connection_limits divideDescriptors(const process_limits &Limits);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_PROCESS_LIMITS_H
