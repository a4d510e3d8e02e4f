#ifndef GENTIANLUG_GATEWAY_RESPONSE_LIMITS_H
#define GENTIANLUG_GATEWAY_RESPONSE_LIMITS_H

#include "gentianlug/http1/message_reader.h"

namespace gentianlug::gateway {

/// Limits for responses of the server beside the node and of other nodes. A
/// server may send bytes without end; the smallest machines have 160 MB.
inline constexpr http1::message_limits ResponseLimits{
    .MaxHeadBytes = 256UL << 10,
    .MaxBodyBytes = 32UL << 20,
    .MaxTotalBodyBytes = 48UL << 20};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_RESPONSE_LIMITS_H
