#ifndef GENTIANLUG_OPERATOR_ACCEPT_H
#define GENTIANLUG_OPERATOR_ACCEPT_H

#include "gentianlug/config/model.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/store/acceptance.h"

#include <string>
#include <vector>

namespace gentianlug::operator_cli {

/// Author, reason and write id to record with a new version.
struct acceptance_request {
  std::string Author;
  std::string Reason;
  std::string WriteId;
  /// Writes all objects, including those that the active version references.
  bool RewriteObjects = false;
};

/// Outcome of `acceptConfiguration` or `rollBackConfiguration`.
struct acceptance_result {
  /// The active version already has this content; no version was added.
  bool AlreadyActive = false;
  /// The new version, or the active one.
  store::accepted_version Version;
  std::size_t ObjectsWritten = 0;
};

/// Writes the parts and the manifest, then updates the head to the next
/// version.
///
/// \param Current the head as the caller read it; the update fails if another
/// operator has changed it since.
/// \returns `operator_errc::Refused` when the update fails, naming the other
/// operator, or when an object is rejected; `PlatformDown` when the platform
/// does not respond.
result<acceptance_result>
acceptConfiguration(sync_store &Store, const store::observed_head &Current,
                    const std::vector<config::site_configuration> &Sites,
                    const acceptance_request &Request, wall_time Now);

/// Accepts the content of the earlier version \p Target as a new version.
///
/// \returns as `acceptConfiguration`; also `Refused` when the head no longer
/// lists the version or its manifest cannot be read.
result<acceptance_result>
rollBackConfiguration(sync_store &Store, const store::observed_head &Current,
                      config_version Target, const acceptance_request &Request,
                      wall_time Now);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_ACCEPT_H
