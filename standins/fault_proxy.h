#ifndef GENTIANLUG_STANDINS_FAULT_PROXY_H
#define GENTIANLUG_STANDINS_FAULT_PROXY_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <memory>

namespace gentianlug::standins {

enum class traffic_direction { ToServer, ToClient };

/// TCP proxy that injects network faults: latency, connection resets, and
/// blackholes in one or both directions.
class fault_proxy {
public:
  fault_proxy(net::event_loop &Loop, address Target);
  ~fault_proxy();

  /// Starts to listen. Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &Address);

  /// Permanently blackholes the open connections and returns their number. They
  /// stay open, but no data passes in either direction.
  std::size_t blackholeAll();
  /// Discards all further data of the open connections in \p Direction.
  void blackholeAll(traffic_direction Direction);
  /// Resets the open connections at both ends.
  void resetAll();
  /// Delays all further data by \p Latency, also of connections opened later;
  /// 0 means no delay.
  void setLatency(std::chrono::milliseconds Latency);

  /// Returns the number of open connections that are not blackholed.
  std::size_t openConnectionCount() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_FAULT_PROXY_H
