#ifndef GENTIANLUG_WIRE_CONTROL_MESSAGES_H
#define GENTIANLUG_WIRE_CONTROL_MESSAGES_H

#include "gentianlug/core/result.h"
#include "gentianlug/distribution/sync_messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianlug::wire {

// Control messages between nodes as JSON text. Decoders validate every field
// and return `wire_errc::MalformedMessage` with path and reason on error.

/// Maximum number of records in one message.
inline constexpr std::size_t MaxRecordsPerMessage = 25000;

result<distribution::sync_request> decodeSyncRequest(std::string_view Text);
std::string encode(const distribution::sync_request &Request);

result<distribution::sync_response> decodeSyncResponse(std::string_view Text);
std::string encode(const distribution::sync_response &Response);

result<distribution::upstream_message>
decodeUpstreamMessage(std::string_view Text);
std::string encode(const distribution::upstream_message &Message);

/// Decodes the body of `POST /v1/attach`.
result<distribution::peer_identity> decodeAttachRequest(std::string_view Text);
std::string encode(const distribution::peer_identity &From);

result<distribution::attach_response>
decodeAttachResponse(std::string_view Text);
std::string encode(const distribution::attach_response &Response);

/// Decodes the response to `GET /v1/relays`.
result<std::vector<distribution::relay_entry>>
decodeRelayList(std::string_view Text);
std::string encode(const std::vector<distribution::relay_entry> &Relays);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_CONTROL_MESSAGES_H
