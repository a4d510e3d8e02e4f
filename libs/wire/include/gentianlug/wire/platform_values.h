#ifndef GENTIANLUG_WIRE_PLATFORM_VALUES_H
#define GENTIANLUG_WIRE_PLATFORM_VALUES_H

#include "gentianlug/core/result.h"
#include "gentianlug/platform/config_head.h"
#include "gentianlug/platform/garbage.h"
#include "gentianlug/platform/zone_state.h"
#include "gentianlug/platform/zone_status.h"

#include <string>
#include <string_view>

namespace gentianlug::wire {

// Values of the platform's objects as JSON text. Each decoder checks every
// field. Errors: `wire_errc::MalformedMessage` with path and reason.

result<platform::config_head> decodeConfigHead(std::string_view Text);
std::string encode(const platform::config_head &Head);

result<platform::config_manifest> decodeConfigManifest(std::string_view Text);
std::string encode(const platform::config_manifest &Manifest);

result<platform::zone_state> decodeZoneState(std::string_view Text);
std::string encode(const platform::zone_state &State);

result<platform::garbage_marks> decodeGarbageMarks(std::string_view Text);
std::string encode(const platform::garbage_marks &Marks);

result<platform::zone_status> decodeZoneStatus(std::string_view Text);
std::string encode(const platform::zone_status &Status);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_PLATFORM_VALUES_H
