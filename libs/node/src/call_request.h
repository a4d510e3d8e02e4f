#ifndef GENTIANLUG_NODE_CALL_REQUEST_H
#define GENTIANLUG_NODE_CALL_REQUEST_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/ids.h"
#include "gentianlug/core/random.h"
#include "gentianlug/core/result.h"
#include "gentianlug/net/http_message.h"
#include "gentianlug/routing/call_limits.h"

#include <chrono>

namespace gentianlug::node {

/// Parameters of a call, as stated in the request of its caller.
struct call_parameters {
  call_id Id;
  bool Idempotent = false;
  /// The call is a retry by an upstream node.
  bool IsRetry = false;
  routing::requested_limits Limits;
};

/// Reads the call headers of a request of the caller listener. A call without
/// an id is assigned one from \p Gen.
///
/// Errors: `routing_errc::MalformedCallHeader` with the name of the field.
result<call_parameters> readCallParameters(const net::http_request &Request,
                                           const config::route &Route,
                                           generator &Gen);

/// Removes the header fields that apply to a single connection.
void eraseHopByHopHeaders(net::http_headers &Headers);

/// Returns the request that the entry node sends to serving nodes.
/// `setAttemptHeaders` adds the fields that differ between attempts.
net::http_request makeForwardedRequest(const net::http_request &Request,
                                       const config::route &Route,
                                       bool Idempotent, std::uint32_t Depth);

/// Header values of one attempt at one endpoint.
struct attempt_headers {
  call_id Id;
  std::uint32_t Number = 1;
  std::chrono::milliseconds RemainingTime{0};
  incarnation_number ServerIncarnation = 0;
};

/// Sets the header fields of one attempt. `gl-attempt` is present only on
/// retries.
void setAttemptHeaders(net::http_headers &Headers,
                       const attempt_headers &Attempt);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CALL_REQUEST_H
