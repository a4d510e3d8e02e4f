#ifndef GENTIANLUG_STORE_ACCEPTANCE_H
#define GENTIANLUG_STORE_ACCEPTANCE_H

#include "gentianlug/store/config_head.h"

#include <optional>
#include <vector>

namespace gentianlug::store {

/// Number of accepted versions listed in the head, including the newest one.
/// Going back to a version and detecting a write by its id work only within
/// these. With ten entries of about 250 bytes, the head, which is sent to all
/// relays on every change, stays below 3 KB.
inline constexpr std::size_t MaxRetainedVersions = 10;

/// A head and the object revision at which it was read; revision 0 if no
/// version has been accepted yet.
struct observed_head {
  config_head Head;
  object_revision Revision = 0;
};

/// Content and metadata of a version to be accepted.
struct acceptance_proposal {
  std::string ManifestHash;
  std::string Author;
  std::string Reason;
  wall_time Now;
  std::string WriteId;
};

/// Returns the successor of \p Current that accepts \p Proposal. The version
/// increases by one even if the content equals that of an earlier version.
config_head nextHead(const config_head &Current,
                     const acceptance_proposal &Proposal);

/// Returns the accepted versions listed in \p Head, newest first; empty if the
/// head was never written. The placeholder for a malformed head has a version
/// but no write id, and therefore lists none.
std::vector<accepted_version> knownVersions(const config_head &Head);

/// Returns the version \p Version if \p Head still lists it.
std::optional<accepted_version> findVersion(const config_head &Head,
                                            config_version Version);

/// Outcome of a write of the head that failed or received no response.
enum class write_outcome : std::uint8_t {
  /// The write took effect; the result holds the accepted version.
  Accepted,
  /// Another writer created this version; the result holds it.
  LostRace,
  /// The head is unchanged, so the same write may be retried. A delayed first
  /// write cannot take effect as well, because both expect the same revision.
  Retryable,
  /// The head has advanced by more versions than it lists.
  Unknown,
};

struct write_result {
  write_outcome Outcome = write_outcome::Unknown;
  accepted_version Version;
};

/// Determines the outcome of a write from a head that was read after it.
///
/// \param Attempt the head that was written.
/// \param Expected the object revision that the write expected.
/// \param Observed the head that was read after the write.
write_result determineWriteOutcome(const config_head &Attempt,
                                   object_revision Expected,
                                   const observed_head &Observed);

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ACCEPTANCE_H
