#include "call_request.h"

#include "gentianlug/node/call_headers.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gentianlug::node {

using routing::routing_errc;

/// Bound of ids and names in call headers.
static constexpr std::size_t MaxNameLength = 64;

/// Ids become part of a path, so only unreserved characters are allowed.
static bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

/// Reads an optional whole number.
static result<std::optional<std::uint32_t>>
readNumber(const net::http_headers &Headers, const char *Name) {
  const std::string *Text = Headers.find(Name);
  if (!Text)
    return std::optional<std::uint32_t>();
  std::uint32_t Number = 0;
  const char *End = Text->data() + Text->size();
  auto [Stop, Failure] = std::from_chars(Text->data(), End, Number);
  if (Failure != std::errc() || Stop != End)
    return makeError(routing_errc::MalformedCallHeader, Name);
  return std::optional(Number);
}

/// Methods whose calls may run more than once on every route.
static bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD";
}

result<call_parameters> readCallParameters(const net::http_request &Request,
                                           const config::route &Route,
                                           generator &Gen) {
  const net::http_headers &Headers = Request.Headers;
  call_parameters Call;
  const std::string *Id = Headers.find(CallIdHeader);
  if (Id && !isName(*Id))
    return makeError(routing_errc::MalformedCallHeader, CallIdHeader);
  Call.Id = call_id(Id ? *Id : drawHexId(Gen));
  const std::string *Customer = Headers.find(CustomerHeader);
  if (Customer && !isName(*Customer))
    return makeError(routing_errc::MalformedCallHeader, CustomerHeader);
  Call.Idempotent = isSafeMethod(Request.Method) || Route.Idempotent;
  auto Attempt = readNumber(Headers, AttemptHeader);
  auto Depth = readNumber(Headers, DepthHeader);
  auto Deadline = readNumber(Headers, DeadlineHeader);
  for (const auto *Number : {&Attempt, &Depth, &Deadline})
    if (!*Number)
      return Number->failure();
  Call.IsRetry = Attempt->value_or(1) > 1;
  Call.Limits.Depth = Depth->value_or(0);
  if (*Deadline)
    Call.Limits.Timeout = std::chrono::milliseconds(**Deadline);
  return Call;
}

void eraseHopByHopHeaders(net::http_headers &Headers) {
  for (const char *Name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE",
                           "Trailer", "Transfer-Encoding", "Upgrade"})
    Headers.erase(Name);
}

static const char *priorityName(config::call_priority Priority) {
  switch (Priority) {
  case config::call_priority::Low:
    return "low";
  case config::call_priority::Normal:
    return "normal";
  case config::call_priority::High:
    return "high";
  }
  return "normal";
}

net::http_request makeForwardedRequest(const net::http_request &Request,
                                       const config::route &Route,
                                       bool Idempotent, std::uint32_t Depth) {
  net::http_request Forwarded = Request;
  net::http_headers &Headers = Forwarded.Headers;
  eraseHopByHopHeaders(Headers);
  // The whole body is here already, with its length.
  for (const char *Name : {"Expect", "Content-Length", IdempotentHeader,
                           PriorityHeader, AttemptHeader})
    Headers.erase(Name);
  Headers.set(RouteHeader, Route.Name.str());
  Headers.set(DepthHeader, std::to_string(Depth));
  Headers.set(PriorityHeader, priorityName(Route.Priority));
  Headers.set(IdempotentHeader, Idempotent ? "1" : "0");
  return Forwarded;
}

void setAttemptHeaders(net::http_headers &Headers, const attempt_headers &Try) {
  Headers.set(CallIdHeader, Try.Id.str());
  Headers.set(DeadlineHeader, std::to_string(Try.TimeLeft.count()));
  Headers.set(ServerIncarnationHeader, std::to_string(Try.ServerIncarnation));
  if (Try.Number > 1)
    Headers.set(AttemptHeader, std::to_string(Try.Number));
}

} // namespace gentianlug::node
