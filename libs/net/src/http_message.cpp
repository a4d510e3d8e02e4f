#include "gentianlug/net/http_message.h"

#include <algorithm>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace gentianlug::net {

static bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

void http_headers::add(std::string Name, std::string Value) {
  Fields.emplace_back(std::move(Name), std::move(Value));
}

void http_headers::set(const std::string &Name, std::string Value) {
  erase(Name);
  add(Name, std::move(Value));
}

void http_headers::erase(std::string_view Name) {
  std::erase_if(Fields, [&](const field &Field) {
    return equalsIgnoringCase(Field.first, Name);
  });
}

const std::string *http_headers::find(std::string_view Name) const {
  for (const field &Field : Fields)
    if (equalsIgnoringCase(Field.first, Name))
      return &Field.second;
  return nullptr;
}

http_response jsonResponse(int Status, std::string Body) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = std::move(Body);
  return Response;
}

http_response errorResponse(int Status, std::string_view Message) {
  return jsonResponse(
      Status, nlohmann::json{{"error", Message}}.dump(
                  -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  auto QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return {};
  evkeyvalq Query{};
  if (evhttp_parse_query_str(Target.c_str() + QueryStart + 1, &Query) != 0)
    return {};
  const char *Value = evhttp_find_header(&Query, Name.c_str());
  std::string Decoded = Value ? Value : "";
  evhttp_clear_headers(&Query);
  return Decoded;
}

} // namespace gentianlug::net
