#ifndef GENTIANLUG_NODE_CALL_HEADERS_H
#define GENTIANLUG_NODE_CALL_HEADERS_H

namespace gentianlug::node {

// Header fields of calls between nodes and of their answers.
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

// Values of the outcome field.
inline constexpr const char *OutcomeAnswered = "answered";
inline constexpr const char *OutcomeNotRun = "not-run";
inline constexpr const char *OutcomeUnknown = "unknown";

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CALL_HEADERS_H
