#ifndef GENTIANLUG_ROUTING_ROUTING_ERRC_H
#define GENTIANLUG_ROUTING_ROUTING_ERRC_H

#include <system_error>

namespace gentianlug::routing {

/// Reasons why a call is not forwarded. The call has not run.
enum class routing_errc {
  NoServerAvailable = 701,
  AllZonesOutOfService = 702,
  DeadlinePassed = 703,
  CallChainTooDeep = 704,
  MalformedCallHeader = 705,
};

std::error_code make_error_code(routing_errc Code);

} // namespace gentianlug::routing

template <>
struct std::is_error_code_enum<gentianlug::routing::routing_errc>
    : std::true_type {};

#endif // GENTIANLUG_ROUTING_ROUTING_ERRC_H
