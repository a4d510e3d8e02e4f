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

/// Outcome of a call as its caller sees it.
struct completed_call {
  std::string Order;
  std::string Path;
  std::string Target;
  /// One of: `answered`, `wrong` (unexpected body), `error` (status other than
  /// 200), `not_run`, `unknown`, `cut` (connection lost), `timeout` and
  /// `refused` (no connection).
  std::string Outcome;
  int Status = 0;
  std::uint32_t Attempts = 1;
  /// Due time of the call, relative to the start of the run.
  std::chrono::microseconds DueOffset{0};
  /// Time since the due time rather than the actual send time, so that a stall
  /// of the caller is not hidden (coordinated omission).
  std::chrono::microseconds Latency{0};
};

/// Collects the outcomes and latencies of one run.
class caller_report {
public:
  /// \param CallsPath file that receives one JSON line for each call; empty
  /// means no file.
  explicit caller_report(const std::string &CallsPath);
  ~caller_report();

  void add(const completed_call &Call);

  /// Counts a call that was not sent because too many were in flight.
  void addUnsent() { ++Unsent; }

  /// Returns the number of calls by outcome and the latency statistics of
  /// answered calls in milliseconds.
  nlohmann::json toJson(std::chrono::microseconds Duration) const;

private:
  struct latency_histogram;
  std::unique_ptr<latency_histogram> Latencies;
  std::map<std::string, std::uint64_t> Outcomes;
  std::uint64_t Calls = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Unsent = 0;
  std::ofstream CallsFile;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_CALLER_REPORT_H
