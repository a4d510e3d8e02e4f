#ifndef GENTIANLUG_NODE_CALL_HEADERS_H
#define GENTIANLUG_NODE_CALL_HEADERS_H

namespace gentianlug::node {

// Header fields of calls between nodes and of the responses.
inline constexpr const char *CallIdHeader = "gl-call-id";
inline constexpr const char *DeadlineHeader = "gl-deadline-ms";
inline constexpr const char *DepthHeader = "gl-depth";
inline constexpr const char *AttemptHeader = "gl-attempt";
inline constexpr const char *CustomerHeader = "gl-customer";
inline constexpr const char *PriorityHeader = "gl-priority";
inline constexpr const char *RouteHeader = "gl-route";
inline constexpr const char *IdempotentHeader = "gl-idempotent";
inline constexpr const char *ServerIncarnationHeader = "gl-server-incarnation";
inline constexpr const char *VersionHeader = "gl-version";
inline constexpr const char *OutcomeHeader = "gl-outcome";
inline constexpr const char *LoadHeader = "gl-load";
inline constexpr const char *NoRetryHeader = "gl-no-retry";

/// Field of a call state query: milliseconds since the last attempt was sent. A
/// serving node that started after that attempt has no record of the call.
inline constexpr const char *AttemptAgeHeader = "gl-attempt-age-ms";

// Header field of the reply to `GET /v1/call/ID`, which has status 200. In
// state `answered` the reply has the headers and the body of the recorded
// response. In state `unknown-id` the serving node has recorded the id as
// refused.
inline constexpr const char *CallStateHeader = "gl-call-state";
inline constexpr const char *CallStateRunning = "running";
inline constexpr const char *CallStateAnswered = "answered";
inline constexpr const char *CallStateUnknownId = "unknown-id";
/// Status of the recorded response, in state `answered`.
inline constexpr const char *CallStatusHeader = "gl-call-status";
/// Path prefix of a call state query, followed by the call id.
inline constexpr const char *CallStatePath = "/v1/call/";
/// Path of the keep-alive check of connections to the peer listener.
inline constexpr const char *PingPath = "/v1/ping";

// Values of `gl-outcome`.
inline constexpr const char *OutcomeAnswered = "answered";
inline constexpr const char *OutcomeNotRun = "not-run";
inline constexpr const char *OutcomeUnknown = "unknown";

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CALL_HEADERS_H
