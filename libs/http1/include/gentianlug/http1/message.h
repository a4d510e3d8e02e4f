#ifndef GENTIANLUG_HTTP1_MESSAGE_H
#define GENTIANLUG_HTTP1_MESSAGE_H

#include "gentianlug/http1/message_body.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::http1 {

/// One header field, with its name in the case as received or to be sent.
struct header_field {
  std::string Name;
  std::string Value;

  friend bool operator==(const header_field &, const header_field &) = default;
};

/// Header fields in their original order. Names are case-insensitive.
class header_list {
public:
  void add(std::string Name, std::string Value) {
    Fields.push_back({std::move(Name), std::move(Value)});
  }
  /// Replaces all fields named \p Name by one, which is appended.
  void set(std::string_view Name, std::string Value);
  void remove(std::string_view Name);
  /// Allocates memory for \p Count fields.
  void reserve(std::size_t Count) { Fields.reserve(Count); }

  /// Returns the value of the first field named \p Name, or null.
  ///
  /// Complexity: linear in the number of fields.
  const std::string *find(std::string_view Name) const;
  std::size_t count(std::string_view Name) const;

  auto begin() const { return Fields.begin(); }
  auto end() const { return Fields.end(); }
  std::size_t size() const { return Fields.size(); }
  /// Returns the bytes of memory that the fields take. Complexity: linear.
  std::size_t heldBytes() const;

private:
  std::vector<header_field> Fields;
};

/// A complete request.
struct request {
  std::string Method;
  std::string Target;
  header_list Headers;
  message_body Body;
  /// Whether the client keeps the connection open after the response.
  bool KeepAlive = true;
};

/// A complete response.
struct response {
  int Status = 0;
  std::string Reason;
  header_list Headers;
  message_body Body;
  /// Whether the server keeps the connection open after this response.
  bool KeepAlive = true;
};

/// Returns a response with \p Status, without header fields or body.
inline response makeStatusResponse(int Status) {
  response Response;
  Response.Status = Status;
  return Response;
}

/// Compares two header field names or tokens, ignoring case.
bool equalIgnoringCase(std::string_view Left, std::string_view Right);

/// Returns whether the field \p Name applies to a single connection and must
/// not be forwarded. This includes the framing fields and `Expect`.
bool isHopByHopField(std::string_view Name);

/// Removes all hop-by-hop fields, including those listed in the `Connection`
/// field, except `Host`.
void removeHopByHopFields(header_list &Headers);

/// Serializes the request line and header section of \p Request. A
/// `Content-Length` field is added, except for an empty body of a method that
/// usually has none. `Headers` must not contain framing fields.
std::string encodeHead(const request &Request);

/// Serializes the status line and header section of \p Response, with a
/// `Content-Length` field unless its status does not allow a body.
std::string encodeHead(const response &Response, bool KeepAlive);

/// Returns the standard reason phrase of \p Status, or "Answer" if it is not in
/// the table.
const char *reasonPhrase(int Status);

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MESSAGE_H
