#ifndef GENTIANLUG_STANDINS_CALLER_SETTINGS_H
#define GENTIANLUG_STANDINS_CALLER_SETTINGS_H

#include "gentianlug/core/address.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gentianlug::standins {

/// One kind of call in the mix.
struct call_kind {
  std::string Method = "POST";
  std::string Path = "/";
  double Weight = 1;
  /// Padding of the request body, which is unique for each call.
  std::size_t BodyBytes = 0;
  /// Size of the answer that the server is set to give; 0 means an echo.
  std::size_t AnswerBytes = 0;
};

/// Settings of a caller stand-in.
struct caller_settings {
  std::vector<address> Targets;
  /// Calls a second, sent at their time however long earlier calls take.
  double Rate = 100;
  std::chrono::milliseconds Duration{1000};
  std::uint64_t Seed = 1;
  std::vector<call_kind> Kinds;
  /// Sent as `gl-deadline-ms`; 0 means none.
  std::chrono::milliseconds Deadline{0};
  std::chrono::milliseconds Timeout{5000};
  std::string Customer;
  /// Further tries at other targets, after a refused connection or an answer
  /// "not run" that allows a retry.
  std::uint32_t Retries = 0;
  /// Calls under way at a time; further ones are counted as unsent.
  std::size_t MaxInFlight = 5000;
  /// Begins each order id, so that runs can be told apart.
  std::string OrderPrefix = "order";
  /// Gets one JSON line for each call; empty means no file.
  std::string CallsFile;
};

/// Parses the argument of the program. Errors: `settings_errc::BadField`.
result<caller_settings> parseCallerSettings(const nlohmann::json &Json);

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_CALLER_SETTINGS_H
