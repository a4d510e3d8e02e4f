#ifndef GENTIANLUG_OPERATOR_REQUEST_TRACE_H
#define GENTIANLUG_OPERATOR_REQUEST_TRACE_H

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::operator_cli {

/// What the logs of the nodes say about one request.
///
/// Example: `request_trace Story("9c41"); for (Line : Lines) Story.add(Line);
/// for (Sentence : Story.tell()) print(Sentence);`
class request_trace {
public:
  explicit request_trace(std::string Id);

  /// Takes a line of a log, in any order. Text in front of the JSON object is
  /// skipped; a line without one is ignored.
  void add(std::string_view Line);

  /// Returns whether some line names the request.
  bool found() const { return !RequestLines.empty(); }
  /// Returns the cause in one sentence; "" when no line shows how it ended.
  std::string cause() const;
  /// Returns the decisions in the order of the nodes' clocks, the cause, and
  /// what else happened on the same nodes.
  std::vector<std::string> summarize() const;

private:
  /// Lines of the request, and lines about nodes and servers, that are kept;
  /// further ones are left out.
  static constexpr std::size_t MaxLines = 200000;

  struct log_line {
    std::chrono::milliseconds Time{0};
    std::string Node;
    std::string Name;
    nlohmann::json Fields;
  };

  /// Returns the line that tells the final answer; null when there is none.
  const log_line *finalAnswer() const;
  std::set<std::string> nodes() const;

  std::string Id;
  std::vector<log_line> RequestLines;
  std::vector<log_line> OtherLines;
};

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_REQUEST_TRACE_H
