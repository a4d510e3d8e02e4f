#include "call_request.h"

#include "gentianlug/node/call_headers.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gentianlug::node {

using routing::routing_errc;

/// Maximum length of ids and names in call headers.
static constexpr std::size_t MaxNameLength = 64;

/// Ids become part of a request path, so only alphanumeric characters, '-', '_'
/// and '.' are allowed.
static bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

/// Reads an optional unsigned integer.
static result<std::optional<std::uint32_t>>
readNumber(const net::http_headers &Headers, const char *Name) {
  const std::string *Text = Headers.find(Name);
  if (!Text)
    return std::optional<std::uint32_t>();
  std::uint32_t Number = 0;
  const char *End = Text->data() + Text->size();
  auto [ParseEnd, Error] = std::from_chars(Text->data(), End, Number);
  if (Error != std::errc() || ParseEnd != End)
    return makeError(routing_errc::MalformedCallHeader, Name);
  return std::optional(Number);
}

/// Returns whether calls of the method may run more than once on any route.
static bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD";
}

result<call_parameters> readCallParameters(const net::http_request &Request,
                                           const config::route &Route,
                                           generator &Gen) {
  const net::http_headers &Headers = Request.Headers;
  call_parameters Call;
  const std::string *Id = Headers.find(CallIdHeader);
  if (Id && !isValidName(*Id))
    return makeError(routing_errc::MalformedCallHeader, CallIdHeader);
  Call.Id = call_id(Id ? *Id : drawHexId(Gen));
  const std::string *Customer = Headers.find(CustomerHeader);
  if (Customer && !isValidName(*Customer))
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
  // The body has been received completely, and the client sets its length.
  for (const char *Name : {"Expect", "Content-Length", IdempotentHeader,
                           PriorityHeader, AttemptHeader})
    Headers.erase(Name);
  Headers.set(RouteHeader, Route.Name.str());
  Headers.set(DepthHeader, std::to_string(Depth));
  Headers.set(PriorityHeader, priorityName(Route.Priority));
  Headers.set(IdempotentHeader, Idempotent ? "1" : "0");
  return Forwarded;
}

void setAttemptHeaders(net::http_headers &Headers,
                       const attempt_headers &Attempt) {
  Headers.set(CallIdHeader, Attempt.Id.str());
  Headers.set(DeadlineHeader, std::to_string(Attempt.RemainingTime.count()));
  Headers.set(ServerIncarnationHeader,
              std::to_string(Attempt.ServerIncarnation));
  if (Attempt.Number > 1)
    Headers.set(AttemptHeader, std::to_string(Attempt.Number));
}

} // namespace gentianlug::node
