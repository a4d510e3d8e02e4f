#ifndef GENTIANLUG_NET_HTTP_MESSAGE_H
#define GENTIANLUG_NET_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianlug::net {

/// Header fields in the order of insertion. Names are case-insensitive.
class http_headers {
public:
  using field = std::pair<std::string, std::string>;

  void add(std::string Name, std::string Value);

  /// Replaces all fields named \p Name by a single one.
  void set(const std::string &Name, std::string Value);

  void erase(std::string_view Name);

  /// Returns the value of the first field named \p Name, or null.
  const std::string *find(std::string_view Name) const;

  const std::vector<field> &fields() const { return Fields; }

private:
  std::vector<field> Fields;
};

/// A request with its complete body.
struct http_request {
  std::string Method = "GET";
  /// Path and query, as in the request line.
  std::string Target = "/";
  http_headers Headers;
  std::string Body;
};

/// A response with its complete body.
struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
};

/// Returns a response with the JSON text \p Body.
http_response jsonResponse(int Status, std::string Body);

/// Returns a response with the JSON body `{"error": MESSAGE}`.
http_response errorResponse(int Status, std::string_view Message);

/// Returns the percent-decoded value of the query parameter \p Name of
/// \p Target, or "" if there is none.
std::string queryValue(const std::string &Target, const std::string &Name);

/// Returns the path of \p Target, without the query.
std::string_view pathOf(std::string_view Target);

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_MESSAGE_H
