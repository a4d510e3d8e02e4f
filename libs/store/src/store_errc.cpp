#include "gentianlug/store/store_errc.h"

#include "gentianlug/core/error_table.h"

namespace gentianlug::store {

static constexpr error_text StoreTexts[] = {
    {int(store_errc::NoResponse), "platform does not answer"},
    {int(store_errc::NotFound), "object does not exist"},
    {int(store_errc::Conflict), "object was changed by somebody else"},
    {int(store_errc::TooOld), "revision is no longer kept"},
    {int(store_errc::RateLimited), "platform refuses for its rate limit"},
    {int(store_errc::TooLarge), "value is larger than one megabyte"},
    {int(store_errc::MalformedResponse), "malformed answer of the platform"},
    {int(store_errc::Refused), "platform refused the operation"},
    {int(store_errc::MalformedValue), "malformed value of an object"},
};

std::error_code make_error_code(store_errc Code) {
  static const error_table Category("platform", StoreTexts);
  return {int(Code), Category};
}

} // namespace gentianlug::store
