#ifndef GENTIANLUG_GATEWAY_PEER_CALL_H
#define GENTIANLUG_GATEWAY_PEER_CALL_H

#include "gentianlug/core/ids.h"
#include "gentianlug/http1/message.h"
#include "gentianlug/mesh/load_report.h"

#include <chrono>
#include <optional>
#include <string>

namespace gentianlug::gateway {

/// Call parameters that one node sends to another.
struct peer_call {
  /// ID of the server instance that the call is meant for.
  std::string Instance;
  route_name Route;
  service_name CallerService;
  /// Client account that makes the call; empty if there is none.
  account_name Account;
  /// Empty in a message if it is that of the request.
  std::string CallId;
  /// Time until the deadline.
  std::chrono::milliseconds RemainingTime{0};
  /// Maximum time that the call may wait for a slot.
  std::chrono::milliseconds MaxQueueTime{0};
  /// Priority in the queue; 0 is the highest.
  std::uint32_t QueuePriority = 0;
  /// The call may be executed more than once.
  bool Idempotent = false;
  /// This is a retry: the call has been sent to a server before.
  bool IsRetry = false;
  /// The call was made by a server that is executing a retried call.
  bool InheritedRetry = false;

  friend bool operator==(const peer_call &, const peer_call &) = default;
};

/// Outcome of a call at the node beside the server.
enum class serving_outcome {
  /// The server sent its final response.
  Answered,
  /// The node refused the call before it reached the server.
  Refused,
  /// The server rejected the call without executing it.
  Shed,
  /// The call may have been executed, but there is no response.
  Unknown,
  /// The node could not be reached; the call was not sent.
  Unreachable,
};

struct serving_result {
  serving_outcome Outcome = serving_outcome::Unreachable;
  /// Response of the server; only meaningful for `Answered`.
  http1::response Response;
  /// Code of the reason for a failure; empty on success.
  std::string Reason;
  /// The server answered with an error after the mesh had rejected a call that
  /// it made. Says nothing about the server, and a retry would only add to the
  /// load that caused the rejection.
  bool NestedCallRejected = false;
  std::optional<mesh::load_report> Report;
};

/// Adds \p Call to a request to another node.
void writePeerCall(http1::request &Request, const peer_call &Call);
/// Decodes the call of a request from another node and removes its header and
/// the connection-specific headers. Returns nothing if the call is missing or
/// malformed.
std::optional<peer_call> extractPeerCall(http1::request &Request);

/// Encodes the response to another node.
http1::response encodeServingResult(serving_result Result);
/// Decodes the response of another node. The outcome of a malformed response is
/// `Unknown`.
serving_result decodeServingResult(http1::response Response);

/// Removes headers of the protocol between nodes, which callers must not set.
void removePeerHeaders(http1::header_list &Headers);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_PEER_CALL_H
