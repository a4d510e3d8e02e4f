#ifndef GENTIANLUG_OPERATOR_ACCEPT_H
#define GENTIANLUG_OPERATOR_ACCEPT_H

#include "gentianlug/config/model.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/platform/config_head.h"

#include <string>
#include <vector>

namespace gentianlug::operator_cli {

/// Who wants a configuration accepted, and why.
struct acceptance_request {
  std::vector<config::site_configuration> Sites;
  std::string Author;
  std::string Reason;
  std::string WriteId;
};

/// Writes parts and manifest, then moves the head to the next version.
///
/// \returns the accepted head, or `operator_errc::NotAccepted` when somebody
/// else was faster, `PlatformDown` when the platform does not answer.
result<platform::config_head> acceptConfiguration(sync_store &Store,
                                                  const acceptance_request &R,
                                                  wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_ACCEPT_H
