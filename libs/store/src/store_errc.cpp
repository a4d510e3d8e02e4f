#include "gentianlug/store/store_errc.h"

#include "gentianlug/core/error_table.h"

namespace gentianlug::store {

static constexpr error_text StoreTexts[] = {
    {int(store_errc::NoAnswer), "platform does not respond"},
    {int(store_errc::NotFound), "object does not exist"},
    {int(store_errc::Conflict),
     "object revision differs from the expected one"},
    {int(store_errc::TooOld), "revision is no longer available"},
    {int(store_errc::RateLimited), "platform rate limit exceeded"},
    {int(store_errc::TooLarge), "value exceeds 1 MiB"},
    {int(store_errc::MalformedAnswer), "malformed response from the platform"},
    {int(store_errc::Refused), "platform rejected the operation"},
    {int(store_errc::MalformedValue), "malformed object value"},
};

std::error_code make_error_code(store_errc Code) {
  static const error_table Category("platform", StoreTexts);
  return {int(Code), Category};
}

} // namespace gentianlug::store
