#ifndef GENTIANLUG_HTTP1_MESSAGE_READER_H
#define GENTIANLUG_HTTP1_MESSAGE_READER_H

#include "gentianlug/http1/message.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace gentianlug::http1 {

/// Size limits for one message.
struct message_limits {
  /// Limit for the start line and the header fields together.
  std::size_t MaxHeadBytes = 64UL << 10;
  std::size_t MaxBodyBytes = 64UL << 20;
  /// Limit for the bodies that a client pool is receiving at a time, over all
  /// its connections.
  std::size_t MaxTotalBodyBytes = 64UL << 20;
};

enum class message_kind { Request, Response };

enum class reader_state {
  /// No byte of the message has been read yet.
  Idle,
  Head,
  Body,
  Complete,
  Failed,
};

enum class reader_fault { None, Malformed, HeadTooLarge, BodyTooLarge };

/// Incremental parser for a sequence of HTTP/1.1 messages in a byte stream.
///
/// Example: `Reader.feed(Bytes); if (Reader.state() == reader_state::Complete)
/// use(Reader.takeRequest());`
class message_reader {
public:
  message_reader(message_kind Kind, message_limits Limits);
  ~message_reader();
  message_reader(message_reader &&) noexcept;
  message_reader &operator=(message_reader &&) noexcept;

  /// Parses bytes up to the end of the current message.
  ///
  /// \returns the number of bytes consumed. Bytes after a complete message
  /// belong to the next one and must be passed again after it has been taken.
  std::size_t feed(std::string_view Bytes);

  /// Signals that the peer has closed the stream. This completes a response
  /// without a length; any other incomplete message fails.
  void finish();

  /// Expects the next response to have no body whatever its headers say,
  /// because it answers a HEAD request.
  void expectNoBody();

  reader_state state() const;
  /// Returns the size of the body that has been read so far.
  std::size_t bodyBytes() const;
  /// Returns the bytes of memory that the message takes so far.
  std::size_t heldBytes() const;
  reader_fault fault() const;
  /// Returns whether the client waits for a `100 Continue` response before it
  /// sends the body.
  bool expectsContinue() const;

  /// Discards what has been read and prepares for the next message.
  void discard();

  /// Moves the complete message out and prepares for the next one.
  request takeRequest();
  response takeResponse();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MESSAGE_READER_H
