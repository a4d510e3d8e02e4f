#ifndef GENTIANLUG_HTTP1_MESSAGE_H
#define GENTIANLUG_HTTP1_MESSAGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::http1 {

/// One header field as it was received or is to be sent.
struct header_field {
  std::string Name;
  std::string Value;

  friend bool operator==(const header_field &, const header_field &) = default;
};

/// Header fields in order; names compare without regard to case.
class header_list {
public:
  void add(std::string Name, std::string Value) {
    Fields.push_back({std::move(Name), std::move(Value)});
  }
  /// Replaces all fields of \p Name by one.
  void set(std::string_view Name, std::string Value);
  void remove(std::string_view Name);

  /// Returns the value of the first field of \p Name, or null.
  ///
  /// Complexity: linear in the number of fields.
  const std::string *find(std::string_view Name) const;
  std::size_t count(std::string_view Name) const;

  auto begin() const { return Fields.begin(); }
  auto end() const { return Fields.end(); }
  std::size_t size() const { return Fields.size(); }

private:
  std::vector<header_field> Fields;
};

/// A whole request.
struct request {
  std::string Method;
  std::string Target;
  header_list Headers;
  std::string Body;
  /// Whether the sender keeps the connection open after the answer.
  bool KeepAlive = true;
};

/// A whole answer.
struct response {
  int Status = 0;
  std::string Reason;
  header_list Headers;
  std::string Body;
  /// Whether the sender keeps the connection open after this answer.
  bool KeepAlive = true;
};

/// Returns an answer without fields and body.
inline response statusAnswer(int Status) {
  response Answer;
  Answer.Status = Status;
  return Answer;
}

/// Returns whether two header names are equal without regard to case.
bool sameName(std::string_view Left, std::string_view Right);

/// Returns whether \p Name concerns one connection only, so that it is never
/// forwarded. Framing fields count among them.
bool isConnectionField(std::string_view Name);

/// Removes the fields that concern one connection, with those that the
/// `Connection` field names.
void removeConnectionFields(header_list &Headers);

/// Returns the bytes of \p Request up to its body, framed by
/// `Content-Length`. The headers hold no framing field of their own.
std::string encodeHead(const request &Request);

/// Returns the bytes of \p Answer up to its body, framed by `Content-Length`
/// unless its status allows no body.
std::string encodeHead(const response &Answer, bool KeepAlive);

/// Returns the usual reason phrase of \p Status.
const char *reasonPhrase(int Status);

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MESSAGE_H
