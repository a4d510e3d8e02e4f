#ifndef GENTIANLUG_OPERATOR_ACCEPT_H
#define GENTIANLUG_OPERATOR_ACCEPT_H

#include "gentianlug/config/model.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/store/acceptance.h"

#include <string>
#include <vector>

namespace gentianlug::operator_cli {

/// Who wants something accepted, and why.
struct acceptance_request {
  std::string Author;
  std::string Reason;
  std::string WriteId;
  /// Writes every object again, also those that the version in force has.
  bool RewriteObjects = false;
};

/// What became of an acceptance.
struct acceptance_result {
  /// The content is in force already; nothing was written.
  bool AlreadyInForce = false;
  store::accepted_version Version;
  std::size_t ObjectsWritten = 0;
};

/// Writes parts and manifest, then moves the head to the next version.
///
/// \param Current the head that the operator has seen; if it has changed
/// since, the race is lost.
/// \returns `operator_errc::Refused` when somebody else was faster, naming the
/// winner, or `PlatformDown`.
result<acceptance_result>
acceptConfiguration(sync_store &Store, const store::observed_head &Current,
                    const std::vector<config::site_configuration> &Sites,
                    const acceptance_request &Request, wall_time Now);

/// Accepts the content of the earlier version \p Back as a new version.
///
/// \returns as `acceptConfiguration`; `Refused` when the head no longer knows
/// the version.
result<acceptance_result>
rollBackConfiguration(sync_store &Store, const store::observed_head &Current,
                      config_version Back, const acceptance_request &Request,
                      wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_ACCEPT_H
