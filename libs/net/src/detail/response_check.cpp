#include "detail/response_check.h"

#include "gentianlug/net/http_syntax.h"

#include <algorithm>
#include <strings.h>

namespace gentianlug::net::detail {

static std::size_t countFields(const http_headers &Headers, const char *Name) {
  const auto &Fields = Headers.fields();
  return std::size_t(std::count_if(
      Fields.begin(), Fields.end(), [&](const http_headers::field &Field) {
        return strcasecmp(Field.first.c_str(), Name) == 0;
      }));
}

static bool hasValidFieldNames(const http_headers &Headers) {
  const auto &Fields = Headers.fields();
  return std::all_of(
      Fields.begin(), Fields.end(), [](const http_headers::field &Field) {
        return !Field.first.empty() && isFieldNamePart(Field.first);
      });
}

/// Returns whether the fields frame the body in exactly one way.
static bool isFramed(const http_headers &Headers) {
  std::size_t Lengths = countFields(Headers, "Content-Length");
  std::size_t Codings = countFields(Headers, "Transfer-Encoding");
  if (Lengths + Codings != 1)
    return false;
  if (Codings == 1)
    return strcasecmp(Headers.find("Transfer-Encoding")->c_str(), "chunked") ==
           0;
  const std::string &Length = *Headers.find("Content-Length");
  return !Length.empty() &&
         Length.find_first_not_of("0123456789") == std::string::npos;
}

std::optional<net_errc> findResponseFault(const http_response &Head,
                                          bool HasBody) {
  if (!isValidStatus(Head.Status) || isInterimStatus(Head.Status) ||
      !hasValidFieldNames(Head.Headers))
    return net_errc::MalformedResponse;
  if (!HasBody || isFramed(Head.Headers))
    return std::nullopt;
  bool HasNoFraming = !Head.Headers.find("Content-Length") &&
                      !Head.Headers.find("Transfer-Encoding");
  return HasNoFraming ? net_errc::ResponseWithoutLength
                      : net_errc::MalformedResponse;
}

} // namespace gentianlug::net::detail
