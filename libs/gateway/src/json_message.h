#ifndef GENTIANLUG_GATEWAY_JSON_MESSAGE_H
#define GENTIANLUG_GATEWAY_JSON_MESSAGE_H

#include "gentianlug/core/result.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/settings/json_file.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace gentianlug::gateway {

/// Parses a message of another node and runs \p Read on the value. Converts
/// exceptions of the JSON library to errors.
template <class T, class Reader>
result<T> decodeMessage(std::string_view Text, Reader Read) {
  if (settings::exceedsNestingDepth(Text, settings::MaxNestingDepth))
    return makeError(feed_errc::MalformedFeed, "nested too deep");
  try {
    return Read(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &Failure) {
    return makeError(feed_errc::MalformedFeed, Failure.what());
  }
}

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_JSON_MESSAGE_H
