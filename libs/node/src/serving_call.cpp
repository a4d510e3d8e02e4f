#include "serving_call.h"

#include "gentianlug/node/call_headers.h"

#include <charconv>

namespace gentianlug::node {

/// Time that a call gets when its entry node names none.
static constexpr std::chrono::milliseconds DefaultTimeLeft{2000};

static std::string text(const net::http_request &Request, const char *Name) {
  const std::string *Value = Request.Headers.find(Name);
  return Value ? *Value : std::string();
}

static std::uint32_t number(const net::http_request &Request, const char *Name,
                            std::uint32_t Missing) {
  std::string Text = text(Request, Name);
  std::uint32_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Parsed.ec == std::errc() && !Text.empty() ? Value : Missing;
}

static config::call_priority priorityByName(const std::string &Name) {
  if (Name == "low")
    return config::call_priority::Low;
  if (Name == "high")
    return config::call_priority::High;
  return config::call_priority::Normal;
}

std::uint32_t readAttempt(const net::http_request &Request,
                          std::uint32_t Missing) {
  return number(Request, AttemptHeader, Missing);
}

std::chrono::milliseconds readAttemptAge(const net::http_request &Request) {
  constexpr std::chrono::milliseconds Oldest =
      admission::ledger_bounds().RetentionTime;
  return std::chrono::milliseconds(
      number(Request, AttemptAgeHeader, std::uint32_t(Oldest.count())));
}

call_details readCallDetails(const net::http_request &Request) {
  call_details Details;
  Details.Id = call_id(text(Request, CallIdHeader));
  Details.Attempt = readAttempt(Request, 1);
  Details.Depth = number(Request, DepthHeader, 0);
  std::string Idempotent = text(Request, IdempotentHeader);
  Details.Idempotent = Idempotent == "1" || Idempotent == "true";
  Details.Route = route_name(text(Request, RouteHeader));
  Details.Customer = customer_name(text(Request, CustomerHeader));
  Details.Priority = priorityByName(text(Request, PriorityHeader));
  Details.TimeLeft = std::chrono::milliseconds(
      number(Request, DeadlineHeader, std::uint32_t(DefaultTimeLeft.count())));
  return Details;
}

admission::recorded_response toRecord(const net::http_response &Answer) {
  return {Answer.Status, Answer.Headers.fields(), Answer.Body};
}

net::http_response fromRecord(const admission::recorded_response &Record) {
  net::http_response Answer;
  Answer.Status = Record.Status;
  for (const auto &[Name, Value] : Record.Headers)
    Answer.Headers.add(Name, Value);
  Answer.Body = Record.Body;
  return Answer;
}

} // namespace gentianlug::node
