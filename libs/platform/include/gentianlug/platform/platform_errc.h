#ifndef GENTIANLUG_PLATFORM_PLATFORM_ERRC_H
#define GENTIANLUG_PLATFORM_PLATFORM_ERRC_H

#include <system_error>

namespace gentianlug::platform {

/// Errors of the object store.
enum class platform_errc {
  /// No answer; a write may or may not have taken effect.
  NoAnswer = 401,
  NotFound = 402,
  /// The revision is not the expected one.
  Conflict = 403,
  /// The revision to watch from is no longer kept.
  TooOld = 404,
  RateLimited = 405,
  TooLarge = 406,
  MalformedAnswer = 407,
  /// The store refused the operation for another reason.
  Refused = 408,
  MalformedValue = 409,
};

std::error_code make_error_code(platform_errc Code);

} // namespace gentianlug::platform

template <>
struct std::is_error_code_enum<gentianlug::platform::platform_errc>
    : std::true_type {};

#endif // GENTIANLUG_PLATFORM_PLATFORM_ERRC_H
