#ifndef GENTIANLUG_STORE_ACCEPTANCE_H
#define GENTIANLUG_STORE_ACCEPTANCE_H

#include "gentianlug/store/config_head.h"

#include <optional>
#include <vector>

namespace gentianlug::store {

/// Accepted versions that the head keeps, the newest included. Going back and
/// recognising a write by its id are possible within these. Ten entries of
/// about 250 bytes keep the head, which every change sends to all relays,
/// below 3 KB.
inline constexpr std::size_t MaxRetainedVersions = 10;

/// The head as it was read; revision 0 when no version was accepted yet.
struct observed_head {
  config_head Head;
  object_revision Revision = 0;
};

/// What somebody wants to have accepted.
struct acceptance_proposal {
  std::string ManifestHash;
  std::string Author;
  std::string Reason;
  wall_time Now;
  std::string WriteId;
};

/// Returns the head that accepts \p Proposal after \p Current. The version
/// grows by one, also when the content is that of an earlier version.
config_head nextHead(const config_head &Current,
                     const acceptance_proposal &Proposal);

/// Returns the accepted versions that \p Head knows, newest first; none when
/// it was never written. A head that stands in for a malformed one has a
/// version, but no write id.
std::vector<accepted_version> knownVersions(const config_head &Head);

/// Returns the version \p Version if \p Head still knows it.
std::optional<accepted_version> findVersion(const config_head &Head,
                                            config_version Version);

/// Outcome of a write of the head that failed or got no answer.
enum class write_outcome : std::uint8_t {
  /// The write took effect, under the version that the verdict names.
  Accepted,
  /// Somebody else took the version; the verdict names who.
  LostRace,
  /// The head is unchanged: the same write may be repeated. A delayed first
  /// write cannot make it count twice, since both expect the same revision.
  Retryable,
  /// The head moved on by more versions than it keeps.
  Unknown,
};

struct write_result {
  write_outcome Outcome = write_outcome::Unknown;
  accepted_version Version;
};

/// Judges a write from the head that was read after it.
///
/// \param Attempt the head that was written.
/// \param Expected the revision that the write expected.
write_result determineWriteOutcome(const config_head &Attempt,
                                   object_revision Expected,
                                   const observed_head &Observed);

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_ACCEPTANCE_H
