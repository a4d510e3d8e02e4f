#ifndef GENTIANLUG_NODE_SERVING_CALL_H
#define GENTIANLUG_NODE_SERVING_CALL_H

#include "gentianlug/admission/admission_control.h"
#include "gentianlug/admission/call_ledger.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"
#include "response_forwarder.h"

namespace gentianlug::node {

/// Parsed headers of a call between nodes.
struct call_details {
  call_id Id;
  std::uint32_t Attempt = 1;
  std::uint32_t Depth = 0;
  bool Idempotent = false;
  route_name Route;
  customer_name Customer;
  config::call_priority Priority = config::call_priority::Normal;
  std::chrono::milliseconds RemainingTime{0};
};

/// Reads the headers of a call. Missing or malformed fields get the most
/// conservative value; a call without `gl-idempotent` must not run twice.
call_details readCallDetails(const net::http_request &Request);

/// Returns the attempt number, or \p Default when it is missing or malformed.
std::uint32_t readAttempt(const net::http_request &Request,
                          std::uint32_t Default);

/// Returns the age of the last attempt from a call state query. Without the
/// field the age is assumed to be the retention time of the ledger.
std::chrono::milliseconds readAttemptAge(const net::http_request &Request);

/// A call at the serving node until its response has been forwarded.
struct serving_call {
  call_details Details;
  net::http_request Request;
  steady_time Deadline;
  /// Exchanges that wait for the response. Only the first one receives a
  /// streamed response.
  std::vector<net::http_exchange> Exchanges;
  /// Number of exchanges whose client is still connected.
  std::size_t ConnectedClients = 0;
  /// The call was handed to `server_link`.
  bool Sent = false;
  response_forwarder Forwarder;
  /// Runs after the connection of the call has delivered the response to
  /// another call, while its own response may still arrive on the connection of
  /// that call.
  std::unique_ptr<net::timer> MismatchTimer;
};

admission::recorded_response toRecord(const net::http_response &Response);
net::http_response fromRecord(const admission::recorded_response &Record);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVING_CALL_H
