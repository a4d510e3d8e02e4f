#ifndef GENTIANLUG_STORE_STORE_ERRC_H
#define GENTIANLUG_STORE_STORE_ERRC_H

#include <system_error>

namespace gentianlug::store {

/// Errors of the object store.
enum class store_errc {
  /// No response was received; a write may have taken effect.
  NoResponse = 401,
  NotFound = 402,
  /// The revision is not the expected one.
  Conflict = 403,
  /// The changes since the revision to watch from are no longer available.
  TooOld = 404,
  RateLimited = 405,
  TooLarge = 406,
  MalformedResponse = 407,
  /// The store rejected the operation for another reason.
  Refused = 408,
  MalformedValue = 409,
};

std::error_code make_error_code(store_errc Code);

} // namespace gentianlug::store

template <>
struct std::is_error_code_enum<gentianlug::store::store_errc> : std::true_type {
};

#endif // GENTIANLUG_STORE_STORE_ERRC_H
