#include "gentianlug/gateway/peer_call.h"

#include "gentianlug/core/text.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <string_view>

namespace gentianlug::gateway {

// Headers of the protocol between nodes. Each contains several values in a
// fixed order, separated by semicolons, which is cheaper than one header per
// value. Names come from callers and operators, so characters that could break
// this format are percent-encoded.
static constexpr const char *CallHeader = "gl-call";
static constexpr const char *ServingHeader = "gl-serving";
static constexpr std::size_t CallValueCount = 11;
/// Largest time in a message, far above all timeouts of calls.
static constexpr std::chrono::milliseconds MaxTime = std::chrono::hours(24);
static constexpr std::size_t ServingValueCount = 6;

/// Reason that carries `serving_result::NestedCallRejected`.
static constexpr std::string_view NestedCallRejectedReason =
    "nested-call-rejected";

static constexpr std::array<std::string_view, 5> OutcomeNames = {
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
  if (!parse(Text, Count) || Count < -MaxTime.count() ||
      Count > MaxTime.count())
    return false;
  Out = std::chrono::milliseconds(Count);
  return true;
}

namespace {

struct free_deleter {
  void operator()(char *Text) const { std::free(Text); }
};
using c_string = std::unique_ptr<char, free_deleter>;

} // namespace

/// Encodes a name so that it contains no separators of values or headers.
static std::string percentEncode(const std::string &Name) {
  constexpr std::string_view SafeCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/";
  if (Name.find_first_not_of(SafeCharacters) == std::string::npos)
    return Name;
  return c_string(evhttp_uriencode(Name.data(), ev_ssize_t(Name.size()), 0))
      .get();
}

static std::string percentDecode(std::string_view Text) {
  if (Text.find('%') == std::string_view::npos)
    return std::string(Text);
  std::size_t Size = 0;
  c_string Name(evhttp_uridecode(std::string(Text).c_str(), 0, &Size));
  return {Name.get(), Size};
}

void writePeerCall(http1::request &Request, const peer_call &Call) {
  std::string Value;
  Value.append(percentEncode(Call.Instance)).append(";");
  Value.append(percentEncode(Call.Route.str())).append(";");
  Value.append(percentEncode(Call.CallerService.str())).append(";");
  Value.append(percentEncode(Call.CallId)).append(";");
  Value.append(std::to_string(Call.RemainingTime.count())).append(";");
  Value.append(std::to_string(Call.MaxQueueTime.count())).append(";");
  Value.append(std::to_string(Call.QueuePriority)).append(";");
  Value.append(Call.Idempotent ? "1;" : "0;");
  Value.append(Call.IsRetry ? "1;" : "0;");
  Value.append(Call.InheritedRetry ? "1;" : "0;");
  Value.append(percentEncode(Call.Account.str()));
  Request.Headers.add(CallHeader, std::move(Value));
}

std::optional<peer_call> extractPeerCall(http1::request &Request) {
  const std::string *Header = Request.Headers.find(CallHeader);
  std::array<std::string_view, CallValueCount> Parts;
  if (!Header || !split(*Header, Parts))
    return std::nullopt;
  peer_call Call;
  Call.Instance = percentDecode(Parts[0]);
  Call.Route = route_name(percentDecode(Parts[1]));
  Call.CallerService = service_name(percentDecode(Parts[2]));
  Call.CallId = percentDecode(Parts[3]);
  Call.Account = account_name(percentDecode(Parts[10]));
  // These names are logged and encoded in other messages.
  for (const std::string &Name : {Call.Instance, Call.Route.str(),
                                  Call.CallerService.str(), Call.Account.str()})
    if (!isValidUtf8(Name))
      return std::nullopt;
  if (!parse(Parts[4], Call.RemainingTime) ||
      !parse(Parts[5], Call.MaxQueueTime) ||
      !parse(Parts[6], Call.QueuePriority))
    return std::nullopt;
  Call.Idempotent = Parts[7] == "1";
  Call.IsRetry = Parts[8] == "1";
  Call.InheritedRetry = Parts[9] == "1";
  Request.Headers.remove(CallHeader);
  http1::removeHopByHopFields(Request.Headers);
  return Call;
}

http1::response encodeServingResult(serving_result Result) {
  mesh::load_report Report = Result.Report.value_or(mesh::load_report{});
  std::string Value(OutcomeNames[std::size_t(Result.Outcome)]);
  Value.append(";").append(std::to_string(Report.Running));
  Value.append(";").append(std::to_string(Report.Queued));
  Value.append(";").append(std::to_string(Report.ConcurrencyLimit));
  Value.append(";").append(std::to_string(Report.ServiceTime.count()));
  Value.append(";");
  Value.append(Result.NestedCallRejected ? NestedCallRejectedReason
                                         : std::string_view(Result.Reason));
  http1::response Response;
  if (Result.Outcome == serving_outcome::Answered) {
    Response = std::move(Result.Response);
  } else {
    constexpr int BadGateway = 502;
    constexpr int Unavailable = 503;
    Response.Status =
        Result.Outcome == serving_outcome::Unknown ? BadGateway : Unavailable;
  }
  Response.Headers.add(ServingHeader, std::move(Value));
  return Response;
}

serving_result decodeServingResult(http1::response Response) {
  serving_result Result;
  Result.Outcome = serving_outcome::Unknown;
  const std::string *Header = Response.Headers.find(ServingHeader);
  std::array<std::string_view, ServingValueCount> Parts;
  mesh::load_report Report;
  if (!Header || !split(*Header, Parts) || !parse(Parts[1], Report.Running) ||
      !parse(Parts[2], Report.Queued) ||
      !parse(Parts[3], Report.ConcurrencyLimit) ||
      !parse(Parts[4], Report.ServiceTime)) {
    Result.Reason = "malformed-peer-answer";
    return Result;
  }
  for (std::size_t Index = 0; Index < OutcomeNames.size(); ++Index)
    if (OutcomeNames[Index] == Parts[0])
      Result.Outcome = serving_outcome(Index);
  Result.Reason = Parts[5];
  Result.NestedCallRejected = Parts[5] == NestedCallRejectedReason;
  Result.Report = Report;
  Response.Headers.remove(ServingHeader);
  http1::removeHopByHopFields(Response.Headers);
  Result.Response = std::move(Response);
  return Result;
}

void removePeerHeaders(http1::header_list &Headers) {
  Headers.remove(CallHeader);
  Headers.remove(ServingHeader);
}

} // namespace gentianlug::gateway
