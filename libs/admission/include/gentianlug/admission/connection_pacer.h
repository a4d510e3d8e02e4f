#ifndef GENTIANLUG_ADMISSION_CONNECTION_PACER_H
#define GENTIANLUG_ADMISSION_CONNECTION_PACER_H

#include "gentianlug/core/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::admission {

/// Paces new connections to a server, each of which keeps it busy for a known
/// time, and bounds their number.
class connection_pacer {
public:
  /// Sets the time that the server spends on one connection and the number
  /// of connections that it accepts.
  void configure(std::chrono::microseconds Cost, std::uint32_t Bound) {
    this->Cost = Cost;
    this->Bound = Bound;
  }

  /// Asks to open one connection beside \p Open others.
  ///
  /// \returns true and counts the connection, or false when it is too early
  /// or the bound is reached.
  bool tryOpen(std::uint32_t Open, steady_time Now);

  /// Returns the time of the next connection.
  steady_time nextOpen() const { return NextOpen; }

private:
  std::chrono::microseconds Cost{1000};
  std::uint32_t Bound = 1;
  steady_time NextOpen;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CONNECTION_PACER_H
