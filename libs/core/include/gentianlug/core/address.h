#ifndef GENTIANLUG_CORE_ADDRESS_H
#define GENTIANLUG_CORE_ADDRESS_H

#include "gentianlug/core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentianlug {

/// An IP address and a port.
struct address {
  std::string Host;
  std::uint16_t Port = 0;

  /// Returns "HOST:PORT".
  std::string str() const { return Host + ":" + std::to_string(Port); }

  friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "HOST:PORT" with a port from 1 to 65535.
///
/// \returns the address, or `core_errc::InvalidAddress`.
result<address> parseAddress(std::string_view Text);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_ADDRESS_H
