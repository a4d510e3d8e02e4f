#ifndef GENTIANLUG_WIRE_PLATFORM_VALUES_H
#define GENTIANLUG_WIRE_PLATFORM_VALUES_H

#include "gentianlug/core/result.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/garbage.h"
#include "gentianlug/store/zone_state.h"
#include "gentianlug/store/zone_status.h"

#include <string>
#include <string_view>

namespace gentianlug::wire {

// Values of platform objects as JSON text. Decoders validate every field and
// return `wire_errc::MalformedMessage` with path and reason on error.

result<store::config_head> decodeConfigHead(std::string_view Text);
std::string encode(const store::config_head &Head);

result<store::config_manifest> decodeConfigManifest(std::string_view Text);
std::string encode(const store::config_manifest &Manifest);

result<store::zone_state> decodeZoneState(std::string_view Text);
std::string encode(const store::zone_state &State);

result<store::garbage_marks> decodeGarbageMarks(std::string_view Text);
std::string encode(const store::garbage_marks &Marks);

result<store::zone_status> decodeZoneStatus(std::string_view Text);
std::string encode(const store::zone_status &Status);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_PLATFORM_VALUES_H
