#include "gentianlug/routing/routing_errc.h"

#include "gentianlug/core/error_table.h"

namespace gentianlug::routing {

static constexpr error_text RoutingErrorTexts[] = {
    {int(routing_errc::NoServerAvailable), "no server takes calls"},
    {int(routing_errc::AllZonesOutOfService), "all zones with servers are out"},
    {int(routing_errc::DeadlinePassed), "deadline has passed"},
    {int(routing_errc::CallChainTooDeep), "call chain is too deep"},
    {int(routing_errc::MalformedCallHeader), "malformed call header"},
};

std::error_code make_error_code(routing_errc Code) {
  static const error_table Category("routing", RoutingErrorTexts);
  return {int(Code), Category};
}

} // namespace gentianlug::routing
