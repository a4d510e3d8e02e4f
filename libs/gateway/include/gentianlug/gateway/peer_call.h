#ifndef GENTIANLUG_GATEWAY_PEER_CALL_H
#define GENTIANLUG_GATEWAY_PEER_CALL_H

#include "gentianlug/core/ids.h"
#include "gentianlug/http1/message.h"
#include "gentianlug/mesh/load_report.h"

#include <chrono>
#include <optional>
#include <string>

namespace gentianlug::gateway {

/// What one node tells another with a call.
struct peer_call {
  /// Start of the server that the call is meant for.
  std::string Instance;
  route_name Route;
  service_name CallerService;
  std::string CallId;
  /// Time left.
  std::chrono::milliseconds RemainingTime{0};
  /// How long the call may wait for a slot.
  std::chrono::milliseconds MaxWait{0};
  /// 0 goes first.
  std::uint32_t Rank = 0;
  /// The call may run more than once.
  bool Idempotent = false;
  /// The call has been sent to a server before.
  bool Retry = false;
  /// A repeated run of a server makes the call.
  bool InheritedRetry = false;

  friend bool operator==(const peer_call &, const peer_call &) = default;
};

/// How a call ended at the node beside the server.
enum class serving_outcome {
  /// The server gave its final answer.
  Answered,
  /// The node refused the call; it did not reach the server.
  Refused,
  /// The server turned the call away without running it.
  Shed,
  /// The call may have run, and there is no answer.
  Unknown,
  /// The node was not reached; the call has not left.
  Unreachable,
};

struct serving_result {
  serving_outcome Outcome = serving_outcome::Unreachable;
  /// Of the server when answered, else without meaning.
  http1::response Response;
  /// Why there is no answer, as a word.
  std::string Reason;
  std::optional<mesh::load_report> Report;
};

/// Adds \p Call to a request for another node.
void writePeerCall(http1::request &Request, const peer_call &Call);
/// Takes the call out of a request, with the fields of the connection between
/// the nodes; nothing when it holds none or a malformed one.
std::optional<peer_call> extractPeerCall(http1::request &Request);

/// Builds the answer to another node.
http1::response encodeServingResult(serving_result Result);
/// Reads the answer of another node. One that is malformed counts as unknown.
serving_result decodeServingResult(http1::response Answer);

/// Removes fields of the node protocol that a caller may have sent.
void removePeerHeaders(http1::header_list &Headers);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_PEER_CALL_H
