#include "gentianlug/operator/request_trace.h"

#include <algorithm>

namespace gentianlug::operator_cli {

using nlohmann::json;

/// What happened on the nodes of a request is told for this time before its
/// first line and after its last one.
static constexpr std::chrono::seconds TimeBefore{3};
static constexpr std::chrono::seconds TimeAfter{1};

namespace {

struct reason_text {
  const char *Reason;
  const char *Text;
};

} // namespace

/// Reasons of final answers and of refusals by nodes.
static constexpr reason_text Reasons[] = {
    {"all-refused", "as many nodes as one call may ask have refused it"},
    {"answer-lost", "the server ended the connection without an answer; the "
                    "call may have run"},
    {"busy", "the server had no free slot in time"},
    {"cold", "the server has just started and takes few calls a second"},
    {"deadline", "the time of the caller or of the route was over"},
    {"draining", "the server is leaving"},
    {"late", "too little time was left to start the call"},
    {"link-busy", "the link of the machine was full of large answers"},
    {"malformed-answer", "the server sent bytes that are no answer"},
    {"malformed-peer-answer", "the other node sent no proper answer"},
    {"no-configuration", "the node had just started and knew no configuration"},
    {"no-route", "no route of the configuration in force takes the request"},
    {"no-server", "no further server was left to ask"},
    {"no-version", "no version of the service is known to be allowed"},
    {"no-weight", "no service of the route has a weight"},
    {"node-lost", "the connection to the other node ended; the call may have "
                  "run"},
    {"node-unreachable", "the node was down or cut off"},
    {"repeats-spent", "the bound on repeats of the service was used up"},
    {"server-error", "the server answered with a failure of its own"},
    {"server-shed", "the server turned the call away without running it"},
    {"server-unreachable", "the server took no connection"},
    {"stopping", "the node is stopping"},
    {"too-many-calls", "the node had too many calls under way"},
    {"unconfirmed", "the server did not answer and is being asked again"},
    {"unproven-answer", "the answer bore no proof that it is the server's"},
    {"version-closed", "a rollout took this version of the server out"},
    {"wrong-server", "another server has the address"},
    {"zone-out", "operators took the zone out"},
};

/// Returns the reason with its explanation.
static std::string explain(const std::string &Reason) {
  for (const reason_text &Each : Reasons)
    if (Reason == Each.Reason)
      return Reason + " (" + Each.Text + ")";
  return Reason;
}

static std::string textOf(const json &Fields, const char *Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return {};
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

/// Returns the fields of a line that are not told elsewhere.
static std::string fieldsText(const json &Fields) {
  std::string Text;
  for (const auto &[Name, Value] : Fields.items()) {
    std::string Told = textOf(Fields, Name.c_str());
    if (Told.empty() || Name == "time_ms" || Name == "node" ||
        Name == "event" || Name == "name" || Name == "call")
      continue;
    Text += Text.empty() ? "" : ", ";
    Text.append(Name).append(" ").append(Told);
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
  Line.Node = textOf(Fields, "node");
  Line.Name = textOf(Fields, "name");
  std::string Call = textOf(Fields, "call");
  Line.Fields = std::move(Fields);
  // Calls that a server makes for the request begin with its id.
  bool Own = Call == Id || Call.starts_with(Id + ".");
  if (!Own && !Call.empty())
    return;
  std::vector<log_line> &Lines = Own ? RequestLines : OtherLines;
  if (Lines.size() < MaxLines)
    Lines.push_back(std::move(Line));
}

const request_trace::log_line *request_trace::finalAnswer() const {
  const log_line *Last = nullptr;
  for (const log_line &Line : RequestLines)
    if (textOf(Line.Fields, "call") == Id && Line.Fields.contains("status") &&
        (!Last || Line.Time >= Last->Time))
      Last = &Line;
  return Last;
}

std::string request_trace::cause() const {
  const log_line *End = finalAnswer();
  if (!End)
    return {};
  std::string Text = "Answered with " + textOf(End->Fields, "status") + " by " +
                     End->Node + ": " + explain(textOf(End->Fields, "reason"));
  std::string Refusal = textOf(End->Fields, "last_refusal");
  if (!Refusal.empty())
    Text += "; the last node refused with " + explain(Refusal);
  std::string Asked = textOf(End->Fields, "asked");
  if (!Asked.empty())
    Text += "; asked: " + Asked;
  return Text + ".";
}

std::set<std::string> request_trace::nodes() const {
  std::set<std::string> Names;
  for (const log_line &Line : RequestLines) {
    Names.insert(Line.Node);
    // "NODE REASON, NODE REASON"
    std::string Asked = textOf(Line.Fields, "asked");
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
  auto Earlier = [](const log_line *Left, const log_line *Right) {
    return Left->Time < Right->Time;
  };
  std::vector<const log_line *> Own;
  for (const log_line &Line : RequestLines)
    Own.push_back(&Line);
  std::stable_sort(Own.begin(), Own.end(), Earlier);
  auto First = Own.front()->Time;
  auto Last = Own.back()->Time;
  auto TellLine = [&](const log_line &Line) {
    std::string Call = textOf(Line.Fields, "call");
    std::string Fields = fieldsText(Line.Fields);
    Sentences.push_back("  " + std::to_string((Line.Time - First).count()) +
                        " ms  " + Line.Node + "  " + Line.Name +
                        (Call == Id || Call.empty() ? "" : " of call " + Call) +
                        (Fields.empty() ? "" : ": " + Fields));
  };
  Sentences.push_back("Request " + Id + ", by the clocks of its nodes:");
  for (const log_line *Line : Own)
    TellLine(*Line);
  std::string Cause = cause();
  Sentences.push_back(Cause.empty() ? "No line shows how it ended." : Cause);
  auto Names = nodes();
  std::vector<const log_line *> Around;
  for (const log_line &Line : OtherLines)
    if (Line.Time >= First - TimeBefore && Line.Time <= Last + TimeAfter &&
        Names.contains(Line.Node))
      Around.push_back(&Line);
  std::stable_sort(Around.begin(), Around.end(), Earlier);
  if (!Around.empty())
    Sentences.push_back("On the same nodes at that time:");
  for (const log_line *Line : Around)
    TellLine(*Line);
  return Sentences;
}

} // namespace gentianlug::operator_cli
