#include "gentianlug/http1/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <strings.h>
#include <utility>

namespace gentianlug::http1 {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

void header_list::set(std::string_view Name, std::string Value) {
  remove(Name);
  add(std::string(Name), std::move(Value));
}

void header_list::remove(std::string_view Name) {
  std::erase_if(Fields, [&](const header_field &Field) {
    return equalIgnoringCase(Field.Name, Name);
  });
}

const std::string *header_list::find(std::string_view Name) const {
  for (const header_field &Field : Fields)
    if (equalIgnoringCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::size_t header_list::count(std::string_view Name) const {
  return std::size_t(std::count_if(Fields.begin(), Fields.end(),
                                   [&](const header_field &Field) {
                                     return equalIgnoringCase(Field.Name, Name);
                                   }));
}

/// Returns the bytes that \p Text allocates.
static std::size_t allocatedBytes(const std::string &Text) {
  static const std::size_t InPlaceBytes = std::string().capacity();
  return Text.capacity() > InPlaceBytes ? Text.capacity() + 1 : 0;
}

std::size_t header_list::heldBytes() const {
  std::size_t Bytes = Fields.capacity() * sizeof(header_field);
  for (const header_field &Field : Fields)
    Bytes += allocatedBytes(Field.Name) + allocatedBytes(Field.Value);
  return Bytes;
}

bool isHopByHopField(std::string_view Name) {
  static constexpr std::array<std::string_view, 10> Names = {
      "connection", "keep-alive",        "proxy-connection", "te",
      "trailer",    "transfer-encoding", "upgrade",          "content-length",
      "expect",     "proxy-authenticate"};
  return std::any_of(Names.begin(), Names.end(),
                     [&](std::string_view HopByHopName) {
                       return equalIgnoringCase(Name, HopByHopName);
                     });
}

/// Returns the field names that the `Connection` fields list.
static std::vector<std::string> connectionOptions(const header_list &Headers) {
  std::vector<std::string> Names;
  for (const header_field &Field : Headers) {
    if (!equalIgnoringCase(Field.Name, "connection"))
      continue;
    std::string Name;
    for (char Byte : Field.Value + ",") {
      if (Byte != ',') {
        if (Byte != ' ' && Byte != '\t')
          Name += Byte;
        continue;
      }
      if (!Name.empty())
        Names.push_back(std::exchange(Name, {}));
    }
  }
  return Names;
}

/// Returns whether the field \p Name is meant for all recipients of a message,
/// so that a `Connection` field must not list it.
static bool isNeverHopByHop(std::string_view Name) {
  return equalIgnoringCase(Name, "host");
}

void removeHopByHopFields(header_list &Headers) {
  for (const std::string &Name : connectionOptions(Headers))
    if (!isNeverHopByHop(Name))
      Headers.remove(Name);
  header_list EndToEnd;
  for (const header_field &Field : Headers)
    if (!isHopByHopField(Field.Name))
      EndToEnd.add(Field.Name, Field.Value);
  Headers = std::move(EndToEnd);
}

/// Appends \p Value with a space in place of each character that would end the
/// field: names of other processes must not add fields.
static void appendFieldValue(std::string &Head, const std::string &Value) {
  for (char Byte : Value)
    Head += Byte == '\r' || Byte == '\n' || Byte == '\0' ? ' ' : Byte;
}

static void appendFields(std::string &Head, const header_list &Headers) {
  for (const header_field &Field : Headers) {
    Head.append(Field.Name).append(": ");
    appendFieldValue(Head, Field.Value);
    Head += "\r\n";
  }
}

std::string encodeHead(const request &Request) {
  std::string Head;
  Head.append(Request.Method).append(" ").append(Request.Target);
  Head += " HTTP/1.1\r\n";
  appendFields(Head, Request.Headers);
  bool NoBodyExpected = Request.Method == "GET" || Request.Method == "HEAD" ||
                        Request.Method == "DELETE";
  if (!Request.Body.empty() || !NoBodyExpected)
    Head += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  if (!Request.KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  return Head;
}

std::string encodeHead(const response &Response, bool KeepAlive) {
  std::string Head = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Head +=
      Response.Reason.empty() ? reasonPhrase(Response.Status) : Response.Reason;
  Head += "\r\n";
  appendFields(Head, Response.Headers);
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  if (Response.Status != NoContent && Response.Status != NotModified)
    Head += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  if (!KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  return Head;
}

const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Answer";
  }
}

} // namespace gentianlug::http1
