#include "serving_call.h"

#include "gentianlug/node/call_headers.h"

#include <charconv>

namespace gentianlug::node {

/// Remaining time of a call whose entry node sent no deadline.
static constexpr std::chrono::milliseconds DefaultRemainingTime{2000};

static std::string headerText(const net::http_request &Request,
                              const char *Name) {
  const std::string *Value = Request.Headers.find(Name);
  return Value ? *Value : std::string();
}

static std::uint32_t headerNumber(const net::http_request &Request,
                                  const char *Name, std::uint32_t Default) {
  std::string Text = headerText(Request, Name);
  std::uint32_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Parsed.ec == std::errc() && !Text.empty() ? Value : Default;
}

static config::call_priority priorityByName(const std::string &Name) {
  if (Name == "low")
    return config::call_priority::Low;
  if (Name == "high")
    return config::call_priority::High;
  return config::call_priority::Normal;
}

std::uint32_t readAttempt(const net::http_request &Request,
                          std::uint32_t Default) {
  return headerNumber(Request, AttemptHeader, Default);
}

std::chrono::milliseconds readAttemptAge(const net::http_request &Request) {
  constexpr std::chrono::milliseconds MaxAge =
      admission::ledger_bounds().RetentionTime;
  return std::chrono::milliseconds(
      headerNumber(Request, AttemptAgeHeader, std::uint32_t(MaxAge.count())));
}

call_details readCallDetails(const net::http_request &Request) {
  call_details Details;
  Details.Id = call_id(headerText(Request, CallIdHeader));
  Details.Attempt = readAttempt(Request, 1);
  Details.Depth = headerNumber(Request, DepthHeader, 0);
  std::string Idempotent = headerText(Request, IdempotentHeader);
  Details.Idempotent = Idempotent == "1" || Idempotent == "true";
  Details.Route = route_name(headerText(Request, RouteHeader));
  Details.Customer = customer_name(headerText(Request, CustomerHeader));
  Details.Priority = priorityByName(headerText(Request, PriorityHeader));
  Details.RemainingTime = std::chrono::milliseconds(headerNumber(
      Request, DeadlineHeader, std::uint32_t(DefaultRemainingTime.count())));
  return Details;
}

admission::recorded_response toRecord(const net::http_response &Response) {
  return {Response.Status, Response.Headers.fields(), Response.Body};
}

net::http_response fromRecord(const admission::recorded_response &Record) {
  net::http_response Response;
  Response.Status = Record.Status;
  for (const auto &[Name, Value] : Record.Headers)
    Response.Headers.add(Name, Value);
  Response.Body = Record.Body;
  return Response;
}

} // namespace gentianlug::node
