#ifndef GENTIANLUG_HTTP1_MESSAGE_BODY_H
#define GENTIANLUG_HTTP1_MESSAGE_BODY_H

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::http1 {

/// The bytes of a message body, in one or more parts.
///
/// Copies share the parts, so that a request that is sent to several servers,
/// or a response that passes several queues, is held once.
class message_body {
public:
  using part = std::shared_ptr<const std::string>;

  message_body() = default;
  message_body(std::string Bytes);
  message_body(const char *Text) : message_body(std::string(Text)) {}

  /// Appends a part without copying it.
  void append(std::string Part);

  std::size_t size() const { return Size; }
  bool empty() const { return Size == 0; }
  const std::vector<part> &parts() const { return Parts; }
  /// Returns the bytes in one string. Complexity: linear in the size.
  std::string str() const;

private:
  std::vector<part> Parts;
  std::size_t Size = 0;
};

/// Gathers a body whose size is not known in advance.
///
/// Bytes are stored in parts of limited size: one string for all of them would
/// need twice its size whenever it grows.
class body_builder {
public:
  static constexpr std::size_t MaxPartBytes = 256UL << 10;

  void append(std::string_view Bytes);
  void clear();
  std::size_t size() const { return Size; }
  /// Returns the bytes of memory that the body takes.
  std::size_t heldBytes() const;
  /// Moves the body out.
  message_body take();

private:
  void reserve(std::size_t Bytes);

  message_body Complete;
  std::string Last;
  std::size_t Size = 0;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MESSAGE_BODY_H
