#ifndef GENTIANLUG_NODE_RESPONSE_FORWARDER_H
#define GENTIANLUG_NODE_RESPONSE_FORWARDER_H

#include "gentianlug/net/http_server.h"

#include <optional>

namespace gentianlug::node {

/// Answers up to this size are collected and passed on in one piece; the
/// ledger keeps none that is larger.
inline constexpr std::size_t MaxBufferedResponseBytes = 64 << 10;
/// Bytes of one answer that may wait in memory for a slow reader before the
/// server is no longer read. With the collected part and the buffers of the
/// connection an answer stays below 256 KB.
inline constexpr std::size_t MaxStreamBacklogBytes = 96 << 10;

/// Collects a small answer, or streams a large one.
class response_forwarder {
public:
  /// Starts a new answer.
  void onHead(net::http_response Head) { Response = std::move(Head); }

  /// Adds one part of the body.
  ///
  /// \param Reader gets the answer once it is too large to be collected.
  /// \returns whether the server must not be read for now.
  bool onPart(std::string_view Part, const net::http_exchange &Reader);

  /// Adds one part of the body of an answer that must not stream. A part that
  /// makes it too large makes the answer incomplete.
  void collect(std::string_view Part);

  /// Returns whether a collected answer has all its parts.
  bool complete() const { return Response.has_value() && !Overflowed; }

  /// Returns whether the answer has been started as a stream.
  bool streaming() const { return Streaming; }
  bool hasHead() const { return Response.has_value(); }

  /// The answer so far; its body is empty once it streams. Precondition:
  /// `hasHead`.
  net::http_response &response() { return *Response; }

private:
  std::optional<net::http_response> Response;
  bool Streaming = false;
  bool Overflowed = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RESPONSE_FORWARDER_H
