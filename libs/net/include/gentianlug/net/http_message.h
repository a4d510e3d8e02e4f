#ifndef GENTIANLUG_NET_HTTP_MESSAGE_H
#define GENTIANLUG_NET_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianlug::net {

/// Header fields in their order; names compare without case.
class http_headers {
public:
  using field = std::pair<std::string, std::string>;

  /// Appends a field.
  void add(std::string Name, std::string Value);

  /// Replaces all fields of the name by one.
  void set(const std::string &Name, std::string Value);

  void erase(std::string_view Name);

  /// Returns the value of the first field, or null.
  const std::string *find(std::string_view Name) const;

  const std::vector<field> &fields() const { return Fields; }

private:
  std::vector<field> Fields;
};

/// A request with its whole body.
struct http_request {
  std::string Method = "GET";
  /// Path with query, as in the request line.
  std::string Target = "/";
  http_headers Headers;
  std::string Body;
};

/// A response with its whole body.
struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
};

/// Returns a response with a JSON body.
http_response jsonResponse(int Status, std::string Body);

/// Returns a response {"error": MESSAGE}.
http_response errorResponse(int Status, std::string_view Message);

/// Returns the value of \p Name in the query of \p Target, or "". The value is
/// decoded.
std::string queryValue(const std::string &Target, const std::string &Name);

/// Returns \p Target without its query.
std::string_view pathOf(std::string_view Target);

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_MESSAGE_H
