#include "gentianlug/platform/platform_errc.h"

#include "gentianlug/core/error_table.h"

namespace gentianlug::platform {

static constexpr error_text PlatformTexts[] = {
    {int(platform_errc::NoAnswer), "platform does not answer"},
    {int(platform_errc::NotFound), "object does not exist"},
    {int(platform_errc::Conflict), "object was changed by somebody else"},
    {int(platform_errc::TooOld), "revision is no longer kept"},
    {int(platform_errc::RateLimited), "platform refuses for its rate limit"},
    {int(platform_errc::TooLarge), "value is larger than one megabyte"},
    {int(platform_errc::MalformedAnswer), "malformed answer of the platform"},
    {int(platform_errc::Refused), "platform refused the operation"},
    {int(platform_errc::MalformedValue), "malformed value of an object"},
};

std::error_code make_error_code(platform_errc Code) {
  static const error_table Category("platform", PlatformTexts);
  return {int(Code), Category};
}

} // namespace gentianlug::platform
