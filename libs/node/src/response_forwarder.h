#ifndef GENTIANLUG_NODE_RESPONSE_FORWARDER_H
#define GENTIANLUG_NODE_RESPONSE_FORWARDER_H

#include "gentianlug/net/http_server.h"

#include <optional>

namespace gentianlug::node {

/// Responses up to this size are buffered and forwarded when complete; the
/// ledger records no larger ones.
inline constexpr std::size_t MaxBufferedResponseBytes = 64 << 10;
/// Bytes of one response that may wait in memory for a slow client before
/// reading from the server is paused. Together with the buffered part and the
/// connection buffers, a response uses less than 256 KB.
inline constexpr std::size_t MaxStreamBacklogBytes = 96 << 10;

/// Buffers a small response, or streams a large one.
class response_forwarder {
public:
  /// Starts a new response.
  void onHead(net::http_response Head) { Response = std::move(Head); }

  /// Adds one part of the body.
  ///
  /// \param Client receives the response once it is too large to be buffered.
  /// \returns whether reading from the server must be paused.
  bool onPart(std::string_view Part, const net::http_exchange &Client);

  /// Adds one part of the body of a response that must not be streamed. A part
  /// that exceeds `MaxBufferedResponseBytes` makes the response incomplete.
  void appendBuffered(std::string_view Part);

  /// Returns whether a buffered response has all its parts.
  bool isComplete() const { return Response.has_value() && !Overflowed; }

  /// Returns whether the response is being streamed to the client.
  bool isStreaming() const { return Streaming; }
  bool hasHead() const { return Response.has_value(); }

  /// Returns the response received so far; its body is empty once streaming has
  /// started. Precondition: `hasHead`.
  net::http_response &response() { return *Response; }

private:
  std::optional<net::http_response> Response;
  bool Streaming = false;
  bool Overflowed = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RESPONSE_FORWARDER_H
