#ifndef GENTIANLUG_STANDINS_FAULT_PROXY_H
#define GENTIANLUG_STANDINS_FAULT_PROXY_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <memory>

namespace gentianlug::standins {

enum class link_direction { ToServer, ToClient };

/// Passes TCP connections on to one address and does to them what networks do:
/// connections are delayed, reset, silent in one direction or in both.
class fault_relay {
public:
  fault_relay(net::event_loop &Loop, address To);
  ~fault_relay();

  /// Starts to listen. Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &Address);

  /// Silences the open connections for good and returns their number: they stay
  /// open, and no byte goes through them any more.
  std::size_t blackholeAll();
  /// Drops what the open connections carry in \p Direction from now on.
  void blackholeAll(link_direction Direction);
  /// Resets the open connections on both sides.
  void resetAll();
  /// Holds back all bytes for \p Delay from now on, those of connections to
  /// come too; 0 passes them on at once.
  void setDelay(std::chrono::milliseconds Delay);

  /// Returns the number of open connections that are not silent.
  std::size_t connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_FAULT_PROXY_H
