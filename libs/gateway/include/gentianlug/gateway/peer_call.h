#ifndef GENTIANLUG_GATEWAY_PEER_CALL_H
#define GENTIANLUG_GATEWAY_PEER_CALL_H

#include "gentianlug/core/ids.h"
#include "gentianlug/http1/message.h"
#include "gentianlug/mesh/serving_report.h"

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
  std::chrono::milliseconds Deadline{0};
  /// How long the call may wait for a slot.
  std::chrono::milliseconds MaxWait{0};
  /// 0 goes first.
  std::uint32_t Rank = 0;
  /// The call may run more than once.
  bool Idempotent = false;
  /// The call has been sent to a server before.
  bool Repeat = false;
  /// A repeated run of a server makes the call.
  bool InheritedRepeat = false;

  friend bool operator==(const peer_call &, const peer_call &) = default;
};

/// How a call ended at the node beside the server.
enum class serving_end {
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
  serving_end End = serving_end::Unreachable;
  /// Of the server when answered, else without meaning.
  http1::response Answer;
  /// Why there is no answer, as a word.
  std::string Reason;
  std::optional<mesh::serving_report> Report;
};

/// Adds \p Call to a request for another node.
void writePeerCall(http1::request &Request, const peer_call &Call);
/// Takes the call out of a request, with the fields of the connection between
/// the nodes; nothing when it holds none or a malformed one.
std::optional<peer_call> takePeerCall(http1::request &Request);

/// Builds the answer to another node.
http1::response writeServingResult(serving_result Result);
/// Reads the answer of another node. One that is malformed counts as unknown.
serving_result readServingResult(http1::response Answer);

/// Removes fields of the node protocol that a caller may have sent.
void removePeerFields(http1::header_list &Headers);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_PEER_CALL_H
