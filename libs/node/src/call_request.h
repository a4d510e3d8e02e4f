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

/// A call as its caller states it.
struct stated_call {
  call_id Id;
  bool Idempotent = false;
  /// A node further up the chain sent the call again.
  bool IsRetry = false;
  routing::stated_limits Limits;
};

/// Reads the call headers of a request of the caller listener. A call without
/// an id gets one from \p Gen.
///
/// Errors: `routing_errc::BadCallHeader` with the name of the field.
result<stated_call> readStatedCall(const net::http_request &Request,
                                   const config::route &Route, generator &Gen);

/// Removes the fields that concern one connection only.
void eraseConnectionFields(net::http_headers &Headers);

/// Returns the request that the entry node sends to serving nodes; `setTry`
/// adds what differs between tries.
net::http_request makeForwarded(const net::http_request &Request,
                                const config::route &Route, bool Idempotent,
                                std::uint32_t Depth);

/// One try of a call at one endpoint.
struct try_fields {
  call_id Id;
  std::uint32_t Number = 1;
  std::chrono::milliseconds TimeLeft{0};
  incarnation_number ServerIncarnation = 0;
};

/// Sets the fields of one try. `gl-attempt` is present only on retries.
void setTry(net::http_headers &Headers, const try_fields &Try);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CALL_REQUEST_H
