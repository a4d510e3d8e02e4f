#include "gentianlug/gateway/process_limits.h"

#include <algorithm>

namespace gentianlug::gateway {

static constexpr double MessageShare = 0.7;
/// Descriptors for files, idle connections to other nodes, the store and the
/// endpoints for the local server and for readiness.
static constexpr std::size_t ReservedDescriptors = 600;
/// On machines with few descriptors, at most this part of them is reserved.
static constexpr std::size_t MaxReservedParts = 2;
/// More connections would cost more memory than their requests are worth.
static constexpr std::size_t MaxConnections = 2000;

std::size_t maxMessageBytes(const process_limits &Limits) {
  return std::size_t(double(Limits.MemoryBytes) * MessageShare);
}

connection_limits divideDescriptors(const process_limits &Limits) {
  std::size_t Reserved =
      std::min(ReservedDescriptors, Limits.MaxDescriptors / MaxReservedParts);
  std::size_t Available = Limits.MaxDescriptors - Reserved;
  auto Share = [&](std::size_t Parts) {
    return std::clamp<std::size_t>(Available / Parts, 1, MaxConnections);
  };
  constexpr std::size_t CallerParts = 2;
  constexpr std::size_t NodeParts = 4;
  constexpr std::size_t CallParts = 4;
  return {Share(CallerParts), Share(NodeParts), Share(CallParts)};
}

} // namespace gentianlug::gateway
