#ifndef GENTIANLUG_HTTP1_MESSAGE_READER_H
#define GENTIANLUG_HTTP1_MESSAGE_READER_H

#include "gentianlug/http1/message.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace gentianlug::http1 {

/// Bounds on one message, in bytes.
struct message_limits {
  /// Start line and header fields together.
  std::size_t MaxHeadBytes = 64UL << 10;
  std::size_t MaxBodyBytes = 64UL << 20;
};

enum class message_kind { Request, Response };

enum class reader_state {
  /// No byte of the message has been read.
  Idle,
  Head,
  Body,
  Complete,
  Failed,
};

enum class reader_fault { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Reads one message after the other from a stream of bytes.
///
/// Example: `Reader.feed(Bytes); if (Reader.state() == reader_state::Complete)
/// use(Reader.takeRequest());`
class message_reader {
public:
  message_reader(message_kind Kind, message_limits Limits);
  ~message_reader();
  message_reader(message_reader &&) noexcept;
  message_reader &operator=(message_reader &&) noexcept;

  /// Reads bytes up to the end of the message under way.
  ///
  /// \returns the number of bytes used; bytes behind a complete message are
  /// left for the next one.
  std::size_t feed(std::string_view Bytes);

  /// The sender has closed the stream. Completes an answer without a length.
  void finish();

  /// The next answer has no body whatever its headers say (answer to HEAD).
  void expectNoBody();

  reader_state state() const;
  reader_fault fault() const;
  /// Whether the sender waits for an interim answer before it sends the body.
  bool waitsForContinue() const;

  /// Takes the complete message and starts with the next one.
  request takeRequest();
  response takeResponse();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MESSAGE_READER_H
