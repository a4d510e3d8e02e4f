#ifndef GENTIANLUG_STANDINS_SILENT_RELAY_H
#define GENTIANLUG_STANDINS_SILENT_RELAY_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"

#include <memory>

namespace gentianlug::standins {

/// Passes TCP connections on to one address and can make the open ones silent:
/// they stay open, and no byte goes through them any more.
class silent_relay {
public:
  silent_relay(net::event_loop &Loop, address To);
  ~silent_relay();

  /// Starts to listen. Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &Address);

  /// Silences the open connections and returns their number.
  std::size_t silenceAll();

  /// Returns the number of open connections that are not silent.
  std::size_t connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SILENT_RELAY_H
