#include "gentianlug/operator/request_trace.h"

#include <algorithm>

namespace gentianlug::operator_cli {

using nlohmann::json;

// Other events of the nodes are listed from this long before the first line of
// the request until this long after its last one.
static constexpr std::chrono::seconds ContextBefore{3};
static constexpr std::chrono::seconds ContextAfter{1};

namespace {

struct reason_explanation {
  const char *Reason;
  const char *Explanation;
};

} // namespace

/// Explanations of the reasons that nodes log for failed and refused calls.
static constexpr reason_explanation ReasonExplanations[] = {
    {"all-refused",
     "the maximum number of nodes that one call may try have refused it"},
    {"answer-lost", "the server ended the connection without an answer; the "
                    "call may have run"},
    {"busy", "the server had no free slot in time"},
    {"cold", "the server has just started, so its call rate is limited"},
    {"deadline",
     "the deadline of the caller or the timeout of the route had passed"},
    {"draining", "the server is shutting down and accepts no new calls"},
    {"late", "too little time was left before the deadline to start the call"},
    {"link-busy",
     "the network link of the machine was saturated by large responses"},
    {"malformed-answer", "the server sent a malformed response"},
    {"malformed-peer-answer", "the other node sent a malformed response"},
    {"no-configuration",
     "the node had not received a configuration since its start"},
    {"no-memory",
     "the node had no memory for the response; the call may have run"},
    {"no-route", "no route of the configuration in force matches the request"},
    {"no-server", "no further server was left to ask"},
    {"no-version", "no version of the service is known to be allowed"},
    {"no-weight", "no service of the route has a weight above zero"},
    {"node-lost",
     "the connection to the other node was closed before its response; "
     "the call may have run"},
    {"node-out-of-memory", "the node had no memory for the call"},
    {"node-unreachable", "the node could not be reached"},
    {"rate-limited",
     "the server had named a limit of calls per second, which was reached"},
    {"repeats-spent", "the retry budget of the service was exhausted"},
    {"server-error", "the server returned an error status"},
    {"server-shed", "the server rejected the call without running it"},
    {"server-unreachable", "the server accepted no connection"},
    {"stopping", "the node is stopping"},
    {"too-many-calls", "the node had reached its limit of concurrent calls"},
    {"unconfirmed", "the server did not respond and is being probed again"},
    {"unproven-answer",
     "the response carried no valid proof that it came from the server"},
    {"version-closed",
     "a rollout allows no calls to this version of the server"},
    {"wrong-server", "another server has the address"},
    {"zone-out", "operators took the zone out"},
};

/// Returns \p Reason followed by its explanation, if there is one.
static std::string explain(const std::string &Reason) {
  for (const reason_explanation &Entry : ReasonExplanations)
    if (Reason == Entry.Reason)
      return Reason + " (" + Entry.Explanation + ")";
  return Reason;
}

static std::string fieldText(const json &Fields, const char *Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return {};
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

/// Returns the fields of a line, except those that a summary line starts with.
static std::string formatDetails(const json &Fields) {
  std::string Text;
  for (const auto &[Name, Value] : Fields.items()) {
    std::string ValueText = fieldText(Fields, Name.c_str());
    if (ValueText.empty() || Name == "time_ms" || Name == "node" ||
        Name == "event" || Name == "name" || Name == "call")
      continue;
    Text += Text.empty() ? "" : ", ";
    Text.append(Name).append(" ").append(ValueText);
  }
  return Text;
}

request_trace::request_trace(std::string Id) : Id(std::move(Id)) {}

void request_trace::add(std::string_view Text) {
  std::size_t Begin = Text.find('{');
  if (Begin == std::string_view::npos)
    return;
  json Fields = json::parse(Text.substr(Begin), nullptr, false);
  if (!Fields.is_object() || !Fields.contains("time_ms") ||
      !Fields["time_ms"].is_number())
    return;
  log_line Line;
  Line.Time = std::chrono::milliseconds(Fields["time_ms"].get<std::int64_t>());
  Line.Node = fieldText(Fields, "node");
  Line.Name = fieldText(Fields, "name");
  std::string Call = fieldText(Fields, "call");
  Line.Fields = std::move(Fields);
  // The ids of calls that a server makes for the request are "ID.SUFFIX".
  bool IsRequest = Call == Id || Call.starts_with(Id + ".");
  if (!IsRequest && !Call.empty())
    return;
  std::vector<log_line> &Lines = IsRequest ? RequestLines : OtherLines;
  if (Lines.size() < MaxLines)
    Lines.push_back(std::move(Line));
}

const request_trace::log_line *request_trace::finalAnswer() const {
  const log_line *Last = nullptr;
  for (const log_line &Line : RequestLines)
    if (fieldText(Line.Fields, "call") == Id &&
        Line.Fields.contains("status") && (!Last || Line.Time >= Last->Time))
      Last = &Line;
  return Last;
}

std::string request_trace::cause() const {
  const log_line *End = finalAnswer();
  if (!End)
    return {};
  std::string Text = "Answered with " + fieldText(End->Fields, "status") +
                     " by " + End->Node + ": " +
                     explain(fieldText(End->Fields, "reason"));
  std::string Refusal = fieldText(End->Fields, "last_refusal");
  if (!Refusal.empty())
    Text += "; the last node refused with " + explain(Refusal);
  std::string Asked = fieldText(End->Fields, "asked");
  if (!Asked.empty())
    Text += "; asked: " + Asked;
  return Text + ".";
}

std::set<std::string> request_trace::nodes() const {
  std::set<std::string> Names;
  for (const log_line &Line : RequestLines) {
    Names.insert(Line.Node);
    // The format is "NODE REASON, NODE REASON".
    std::string Asked = fieldText(Line.Fields, "asked");
    for (std::size_t At = 0; At < Asked.size();) {
      std::size_t End = std::min(Asked.find(", ", At), Asked.size());
      Names.insert(Asked.substr(At, Asked.find(' ', At) - At));
      At = End + 2;
    }
  }
  return Names;
}

std::vector<std::string> request_trace::summarize() const {
  std::vector<std::string> Sentences;
  if (!found())
    return Sentences;
  auto ByTime = [](const log_line *Left, const log_line *Right) {
    return Left->Time < Right->Time;
  };
  std::vector<const log_line *> Ordered;
  for (const log_line &Line : RequestLines)
    Ordered.push_back(&Line);
  std::stable_sort(Ordered.begin(), Ordered.end(), ByTime);
  auto First = Ordered.front()->Time;
  auto Last = Ordered.back()->Time;
  auto AppendLine = [&](const log_line &Line) {
    std::string Call = fieldText(Line.Fields, "call");
    std::string Fields = formatDetails(Line.Fields);
    Sentences.push_back("  " + std::to_string((Line.Time - First).count()) +
                        " ms  " + Line.Node + "  " + Line.Name +
                        (Call == Id || Call.empty() ? "" : " of call " + Call) +
                        (Fields.empty() ? "" : ": " + Fields));
  };
  Sentences.push_back("Request " + Id + ", by the clocks of its nodes:");
  for (const log_line *Line : Ordered)
    AppendLine(*Line);
  std::string Cause = cause();
  Sentences.push_back(Cause.empty() ? "No line contains its final status."
                                    : Cause);
  auto Names = nodes();
  std::vector<const log_line *> Context;
  for (const log_line &Line : OtherLines)
    if (Line.Time >= First - ContextBefore &&
        Line.Time <= Last + ContextAfter && Names.contains(Line.Node))
      Context.push_back(&Line);
  std::stable_sort(Context.begin(), Context.end(), ByTime);
  if (!Context.empty())
    Sentences.push_back("On the same nodes at that time:");
  for (const log_line *Line : Context)
    AppendLine(*Line);
  return Sentences;
}

} // namespace gentianlug::operator_cli
