#ifndef GENTIANLUG_WIRE_LOAD_HEADER_H
#define GENTIANLUG_WIRE_LOAD_HEADER_H

#include "gentianlug/routing/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianlug::wire {

/// Returns the value of the `gl-load` header field: "IN_FLIGHT/LIMIT/QUEUED".
std::string encodeLoad(const routing::reported_load &Load);

/// Parses the value of `gl-load`: three integers in the order of `encodeLoad`,
/// with arbitrary separators. The load is only a hint, so a malformed value is
/// treated as absent rather than as an error.
std::optional<routing::reported_load> decodeLoad(std::string_view Value);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_LOAD_HEADER_H
