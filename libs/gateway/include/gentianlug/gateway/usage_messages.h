#ifndef GENTIANLUG_GATEWAY_USAGE_MESSAGES_H
#define GENTIANLUG_GATEWAY_USAGE_MESSAGES_H

#include "gentianlug/core/result.h"
#include "gentianlug/mesh/usage.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::gateway {

/// Request path at which a node receives the usage counts of other nodes.
inline constexpr const char *UsagePath = "/v1/usage";

std::string encodeUsage(const std::vector<mesh::node_usage> &Entries);
/// Errors: `feed_errc::MalformedFeed` with the reason.
result<std::vector<mesh::node_usage>> decodeUsage(std::string_view Text);

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_USAGE_MESSAGES_H
