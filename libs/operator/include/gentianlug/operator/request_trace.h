#ifndef GENTIANLUG_OPERATOR_REQUEST_TRACE_H
#define GENTIANLUG_OPERATOR_REQUEST_TRACE_H

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::operator_cli {

/// Collects the log lines of all nodes that concern one request and explains
/// how the request ended.
///
/// Example: `request_trace Trace("9c41"); for (Line : Lines) Trace.add(Line);
/// for (Sentence : Trace.summarize()) print(Sentence);`
class request_trace {
public:
  explicit request_trace(std::string Id);

  /// Adds a log line. Lines may be added in any order. Text before the JSON
  /// object is skipped; a line without a JSON object is ignored.
  void add(std::string_view Line);

  /// Returns true when at least one line belongs to the request.
  bool found() const { return !RequestLines.empty(); }
  /// Returns the final status and its reason as one sentence; empty when no
  /// line contains the final status.
  std::string cause() const;
  /// Returns the lines of the request ordered by their timestamps, the cause,
  /// and other events of the same nodes around that time. The timestamps are
  /// those of the nodes' clocks.
  std::vector<std::string> summarize() const;

private:
  /// Limit of each of the two lists of lines; further lines are dropped.
  static constexpr std::size_t MaxLines = 200000;

  struct log_line {
    std::chrono::milliseconds Time{0};
    std::string Node;
    std::string Name;
    nlohmann::json Fields;
  };

  /// Returns the line with the final status; null when there is none.
  const log_line *finalAnswer() const;
  /// Returns the nodes that handled the request or were tried for it.
  std::set<std::string> nodes() const;

  std::string Id;
  std::vector<log_line> RequestLines;
  /// Lines that belong to no request, such as those about nodes and servers.
  std::vector<log_line> OtherLines;
};

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_REQUEST_TRACE_H
