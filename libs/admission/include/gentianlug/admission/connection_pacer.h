#ifndef GENTIANLUG_ADMISSION_CONNECTION_PACER_H
#define GENTIANLUG_ADMISSION_CONNECTION_PACER_H

#include "gentianlug/core/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gentianlug::admission {

/// Limits the rate and the number of connections to a server that spends a
/// known time on each new connection.
class connection_pacer {
public:
  /// Sets the time that the server spends on a new connection and the number of
  /// connections that it accepts.
  void configure(std::chrono::microseconds Cost, std::uint32_t MaxConnections) {
    this->Cost = Cost;
    this->MaxConnections = MaxConnections;
  }

  /// Returns whether a connection may be opened now, and if so, delays the next
  /// one by the cost of this one.
  ///
  /// \param Open number of connections that are open already.
  bool tryOpen(std::uint32_t Open, steady_time Now);

  /// Returns the earliest time of the next connection.
  steady_time nextOpen() const { return NextOpen; }

private:
  std::chrono::microseconds Cost{1000};
  std::uint32_t MaxConnections = 1;
  steady_time NextOpen;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CONNECTION_PACER_H
