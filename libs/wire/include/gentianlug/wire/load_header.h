#ifndef GENTIANLUG_WIRE_LOAD_HEADER_H
#define GENTIANLUG_WIRE_LOAD_HEADER_H

#include "gentianlug/routing/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianlug::wire {

/// Returns the value of the header field `gl-load`: "IN_FLIGHT/LIMIT/QUEUED".
std::string encodeLoad(const routing::reported_load &Load);

/// Reads the value of `gl-load`: three whole numbers in the order of
/// `encodeLoad`, with any separators. Load is a hint, so a malformed value is
/// no error; it counts as absent.
std::optional<routing::reported_load> decodeLoad(std::string_view Value);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_LOAD_HEADER_H
