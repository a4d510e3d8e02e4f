#ifndef GENTIANLUG_STANDINS_CALLER_SETTINGS_H
#define GENTIANLUG_STANDINS_CALLER_SETTINGS_H

#include "gentianlug/core/address.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gentianlug::standins {

/// One kind of call in the generated load.
struct call_kind {
  std::string Method = "POST";
  std::string Path = "/";
  double Weight = 1;
  /// Minimum size of the request body, which begins with the order id and is
  /// padded.
  std::size_t BodyBytes = 0;
  /// Size of response bodies for which the server is configured; 0 means an
  /// echo of the request body.
  std::size_t ResponseBytes = 0;
};

/// Settings of the caller stand-in.
struct caller_settings {
  std::vector<address> Targets;
  /// Mean arrival rate, independent of how long earlier calls take.
  double CallsPerSecond = 100;
  std::chrono::milliseconds Duration{1000};
  std::uint64_t Seed = 1;
  std::vector<call_kind> CallKinds;
  /// Value of the `gl-deadline-ms` header; 0 means no header.
  std::chrono::milliseconds Deadline{0};
  std::chrono::milliseconds Timeout{5000};
  std::string Customer;
  /// Retries at other targets, after a refused connection or a `not-run`
  /// response without `gl-no-retry`.
  std::uint32_t MaxRetries = 0;
  /// Limit of calls in flight; calls beyond it are counted as unsent.
  std::size_t MaxInFlight = 5000;
  /// Prefix of all order ids, which tells runs apart.
  std::string OrderPrefix = "order";
  /// File that receives one JSON line for each call; empty means no file.
  std::string CallsFile;
};

/// Parses the program argument. Errors: `settings_errc::InvalidField`.
result<caller_settings> parseCallerSettings(const nlohmann::json &Json);

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_CALLER_SETTINGS_H
