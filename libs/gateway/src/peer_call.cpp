#include "gentianlug/gateway/peer_call.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <string_view>

namespace gentianlug::gateway {

// Fields of the protocol between nodes. Each holds values in a fixed order,
// separated by semicolons: one field costs less than one for each value. Names
// come from callers and operators, so other bytes than plain ones are encoded.
static constexpr const char *CallField = "gl-call";
static constexpr const char *ServingField = "gl-serving";
static constexpr std::size_t CallValues = 10;
static constexpr std::size_t ServingValues = 6;

static constexpr std::array<std::string_view, 5> EndWords = {
    "answered", "refused", "shed", "unknown", "unreachable"};

template <std::size_t Count>
static bool split(std::string_view Text,
                  std::array<std::string_view, Count> &Parts) {
  std::size_t Index = 0;
  while (Index < Count) {
    std::size_t End = Text.find(';');
    Parts[Index++] = Text.substr(0, End);
    if (End == std::string_view::npos)
      return Index == Count;
    Text.remove_prefix(End + 1);
  }
  return false;
}

template <class Number> static bool parse(std::string_view Text, Number &Out) {
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Failure == std::errc() && End == Text.data() + Text.size();
}

static bool parse(std::string_view Text, std::chrono::milliseconds &Out) {
  std::int64_t Count = 0;
  if (!parse(Text, Count))
    return false;
  Out = std::chrono::milliseconds(Count);
  return true;
}

namespace {

struct free_delete {
  void operator()(char *Text) const { std::free(Text); }
};
using c_text = std::unique_ptr<char, free_delete>;

} // namespace

/// Returns a name without bytes that separate values or fields.
static std::string encodeName(const std::string &Name) {
  constexpr std::string_view Plain =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/";
  if (Name.find_first_not_of(Plain) == std::string::npos)
    return Name;
  return c_text(evhttp_uriencode(Name.data(), ev_ssize_t(Name.size()), 0))
      .get();
}

static std::string decodeName(std::string_view Text) {
  if (Text.find('%') == std::string_view::npos)
    return std::string(Text);
  std::size_t Size = 0;
  c_text Name(evhttp_uridecode(std::string(Text).c_str(), 0, &Size));
  return {Name.get(), Size};
}

void writePeerCall(http1::request &Request, const peer_call &Call) {
  std::string Value;
  Value.append(encodeName(Call.Instance)).append(";");
  Value.append(encodeName(Call.Route.str())).append(";");
  Value.append(encodeName(Call.CallerService.str())).append(";");
  Value.append(encodeName(Call.CallId)).append(";");
  Value.append(std::to_string(Call.Deadline.count())).append(";");
  Value.append(std::to_string(Call.MaxWait.count())).append(";");
  Value.append(std::to_string(Call.Rank)).append(";");
  Value.append(Call.Idempotent ? "1;" : "0;");
  Value.append(Call.Repeat ? "1;" : "0;");
  Value.append(Call.InheritedRepeat ? "1" : "0");
  Request.Headers.add(CallField, std::move(Value));
}

std::optional<peer_call> takePeerCall(http1::request &Request) {
  const std::string *Field = Request.Headers.find(CallField);
  std::array<std::string_view, CallValues> Parts;
  if (!Field || !split(*Field, Parts))
    return std::nullopt;
  peer_call Call;
  Call.Instance = decodeName(Parts[0]);
  Call.Route = route_name(decodeName(Parts[1]));
  Call.CallerService = service_name(decodeName(Parts[2]));
  Call.CallId = decodeName(Parts[3]);
  if (!parse(Parts[4], Call.Deadline) || !parse(Parts[5], Call.MaxWait) ||
      !parse(Parts[6], Call.Rank))
    return std::nullopt;
  Call.Idempotent = Parts[7] == "1";
  Call.Repeat = Parts[8] == "1";
  Call.InheritedRepeat = Parts[9] == "1";
  Request.Headers.remove(CallField);
  http1::removeConnectionFields(Request.Headers);
  return Call;
}

http1::response writeServingResult(serving_result Result) {
  mesh::serving_report Report = Result.Report.value_or(mesh::serving_report{});
  std::string Value(EndWords[std::size_t(Result.End)]);
  Value.append(";").append(std::to_string(Report.Running));
  Value.append(";").append(std::to_string(Report.Queued));
  Value.append(";").append(std::to_string(Report.Limit));
  Value.append(";").append(std::to_string(Report.ServiceTime.count()));
  Value.append(";").append(Result.Reason);
  http1::response Answer;
  if (Result.End == serving_end::Answered) {
    Answer = std::move(Result.Answer);
  } else {
    constexpr int BadGateway = 502;
    constexpr int Unavailable = 503;
    Answer.Status =
        Result.End == serving_end::Unknown ? BadGateway : Unavailable;
  }
  Answer.Headers.add(ServingField, std::move(Value));
  return Answer;
}

serving_result readServingResult(http1::response Answer) {
  serving_result Result;
  Result.End = serving_end::Unknown;
  const std::string *Field = Answer.Headers.find(ServingField);
  std::array<std::string_view, ServingValues> Parts;
  mesh::serving_report Report;
  if (!Field || !split(*Field, Parts) || !parse(Parts[1], Report.Running) ||
      !parse(Parts[2], Report.Queued) || !parse(Parts[3], Report.Limit) ||
      !parse(Parts[4], Report.ServiceTime)) {
    Result.Reason = "malformed-peer-answer";
    return Result;
  }
  for (std::size_t Index = 0; Index < EndWords.size(); ++Index)
    if (EndWords[Index] == Parts[0])
      Result.End = serving_end(Index);
  Result.Reason = Parts[5];
  Result.Report = Report;
  Answer.Headers.remove(ServingField);
  http1::removeConnectionFields(Answer.Headers);
  Result.Answer = std::move(Answer);
  return Result;
}

void removePeerFields(http1::header_list &Headers) {
  Headers.remove(CallField);
  Headers.remove(ServingField);
}

} // namespace gentianlug::gateway
