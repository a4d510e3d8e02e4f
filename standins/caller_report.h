#ifndef GENTIANLUG_STANDINS_CALLER_REPORT_H
#define GENTIANLUG_STANDINS_CALLER_REPORT_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianlug::standins {

/// How one call ended for its caller.
struct completed_call {
  std::string Order;
  std::string Path;
  std::string Target;
  /// answered, wrong (another body than expected), error (status of the
  /// server), not_run, unknown, cut, timeout or refused (no connection).
  std::string Outcome;
  int Status = 0;
  std::uint32_t Tries = 1;
  /// Time since the start of the run at which the call was due.
  std::chrono::microseconds Due{0};
  /// Counted from the due time, so that a stall of the caller shows in all
  /// calls that it delays.
  std::chrono::microseconds Latency{0};
};

/// Counts and latencies of one run.
class caller_report {
public:
  /// \param CallsFile gets one JSON line for each call; empty means none.
  explicit caller_report(const std::string &CallsFile);
  ~caller_report();

  void add(const completed_call &Call);

  /// Counts a call that was not sent, for too many were under way.
  void addUnsent() { ++Unsent; }

  /// Returns counts by outcome and the latencies of answered calls in ms.
  nlohmann::json toJson(std::chrono::microseconds Duration) const;

private:
  struct latencies;
  std::unique_ptr<latencies> Latencies;
  std::map<std::string, std::uint64_t> Outcomes;
  std::uint64_t Calls = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Unsent = 0;
  std::ofstream File;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_CALLER_REPORT_H
