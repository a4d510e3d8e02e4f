#ifndef GENTIANLUG_NODE_SERVING_CALL_H
#define GENTIANLUG_NODE_SERVING_CALL_H

#include "gentianlug/admission/admission_control.h"
#include "gentianlug/admission/call_ledger.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"
#include "response_forwarder.h"

namespace gentianlug::node {

/// What the headers of a call between nodes say.
struct call_details {
  call_id Id;
  std::uint32_t Attempt = 1;
  std::uint32_t Depth = 0;
  bool Idempotent = false;
  route_name Route;
  customer_name Customer;
  config::call_priority Priority = config::call_priority::Normal;
  std::chrono::milliseconds TimeLeft{0};
};

/// Reads the headers of a call. Missing or malformed fields get the most
/// careful value; a call without an idempotent field must not run twice.
call_details readCallDetails(const net::http_request &Request);

/// Reads the attempt number; \p Missing stands for an absent one.
std::uint32_t readAttempt(const net::http_request &Request,
                          std::uint32_t Missing);

/// Reads the age of the last attempt from a question. Without the field the
/// attempt may be as old as the ledger remembers calls.
std::chrono::milliseconds readAttemptAge(const net::http_request &Request);

/// A call at the serving node, until its answer has been passed on.
struct serving_call {
  call_details Details;
  net::http_request Request;
  steady_time Deadline;
  /// Those who wait for the answer; the first one gets large answers too.
  std::vector<net::http_exchange> Exchanges;
  /// Exchanges whose client has not gone.
  std::size_t ConnectedClients = 0;
  /// The call was handed to the connection to the server.
  bool Sent = false;
  response_forwarder Forwarder;
  /// Runs while the connection of the call has ended with the answer to another
  /// call and its own answer may still come on that other connection.
  std::unique_ptr<net::timer> MismatchTimer;
};

admission::recorded_response toRecord(const net::http_response &Answer);
net::http_response fromRecord(const admission::recorded_response &Record);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVING_CALL_H
