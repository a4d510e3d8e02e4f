#include "gentianlug/operator/accept.h"

#include "gentianlug/config/parts.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"

#include <set>

namespace gentianlug::operator_cli {

using store::accepted_version;
using store::config_head;
using store::observed_head;
using store::store_errc;
using store::write_outcome;

/// Attempts to write the head before the command reports an unknown outcome.
static constexpr unsigned MaxHeadWriteAttempts = 5;

namespace {

/// Objects of a version: the text of each part by its hash, and the manifest,
/// which is written last.
struct version_objects {
  std::map<std::string, std::string> Parts;
  std::string ManifestText;
};

} // namespace

static version_objects
buildVersionObjects(const std::vector<config::site_configuration> &Sites) {
  version_objects Objects;
  store::config_manifest Manifest;
  for (const config::site_configuration &Site : Sites) {
    config::part_map Parts = config::splitIntoParts(Site);
    config::part_hashes Hashes = config::hashesOf(Parts);
    Manifest.Sites[Site.Site] = {config::rootHash(Hashes), Hashes};
    for (auto &[Name, Part] : Parts)
      Objects.Parts.emplace(Part.Hash, std::move(Part.Text));
  }
  Objects.ManifestText = wire::encode(Manifest);
  return Objects;
}

/// Returns the part hashes that the active version references; none when its
/// manifest is missing or malformed, so that all objects are written.
static result<std::set<std::string>> readActiveHashes(sync_store &Store,
                                                      const config_head &Head) {
  std::set<std::string> Hashes;
  if (Head.Version == 0)
    return Hashes;
  auto Manifest = readManifest(Store, Head.ManifestHash);
  if (!Manifest &&
      Manifest.failure().Code == make_error_code(operator_errc::PlatformDown))
    return Manifest.failure();
  if (!Manifest)
    return Hashes;
  for (const auto &[Name, Site] : Manifest->Sites)
    for (const auto &[Part, Hash] : Site.Parts)
      Hashes.insert(Hash);
  return Hashes;
}

/// Keeps `PlatformDown` and turns other errors of the store into `Refused`.
static error toOperatorError(const error &Cause) {
  if (Cause.Code == make_error_code(operator_errc::PlatformDown))
    return Cause;
  return makeError(operator_errc::Refused, Cause.message());
}

/// Writes the manifest and all parts except those in \p ExistingHashes.
///
/// \returns the number of objects written.
static result<std::size_t>
writeObjects(sync_store &Store, const version_objects &Objects,
             const std::set<std::string> &ExistingHashes) {
  std::size_t Count = 0;
  for (const auto &[Hash, Text] : Objects.Parts) {
    if (ExistingHashes.count(Hash))
      continue;
    auto Written = Store.putContent(store::contentKey(Hash), Text);
    if (!Written)
      return toOperatorError(Written.failure());
    ++Count;
  }
  auto Written =
      Store.putContent(store::contentKey(contentHash(Objects.ManifestText)),
                       Objects.ManifestText);
  if (!Written)
    return toOperatorError(Written.failure());
  return Count + 1;
}

static error makeLostRaceError(const accepted_version &Winner) {
  return makeError(operator_errc::Refused,
                   Winner.Author + " was faster with version " +
                       std::to_string(Winner.Version) + " (" + Winner.Reason +
                       "); your change was not accepted. Review it with "
                       "diff and apply again");
}

static error makeUnknownOutcomeError(config_version Version,
                                     const error &Cause) {
  return makeError(operator_errc::PlatformDown,
                   "the response to the write of version " +
                       std::to_string(Version) +
                       " was lost, so it may or may not be accepted; it is "
                       "safe to repeat the same apply (" +
                       Cause.message() + ")");
}

/// Writes the head. After a lost response or a conflict the head is read again
/// to determine whether the write took effect.
static result<accepted_version> writeHead(sync_store &Store,
                                          const observed_head &Current,
                                          const config_head &Next) {
  for (unsigned Attempt = 0; Attempt < MaxHeadWriteAttempts; ++Attempt) {
    auto Written =
        Store.putIf(store::ConfigHeadKey, wire::encode(Next), Current.Revision);
    if (Written)
      return *store::findVersion(Next, Next.Version);
    bool Ambiguous = hasCode(Written.failure(), store_errc::NoResponse) ||
                     hasCode(Written.failure(), store_errc::Conflict);
    if (!Ambiguous)
      return toOperatorError(Written.failure());
    auto Observed = readHead(Store);
    if (!Observed)
      return makeUnknownOutcomeError(Next.Version, Observed.failure());
    auto WriteResult =
        store::determineWriteOutcome(Next, Current.Revision, *Observed);
    if (WriteResult.Outcome == write_outcome::Accepted)
      return WriteResult.Version;
    if (WriteResult.Outcome == write_outcome::LostRace)
      return makeLostRaceError(WriteResult.Version);
    if (WriteResult.Outcome == write_outcome::Unknown)
      return makeUnknownOutcomeError(Next.Version, Written.failure());
  }
  return makeUnknownOutcomeError(
      Next.Version, makeError(store_errc::NoResponse, "live/config"));
}

static result<acceptance_result>
updateHead(sync_store &Store, const observed_head &Current,
           const std::string &ManifestHash, std::size_t ObjectsWritten,
           const acceptance_request &Request, wall_time Now) {
  auto Accepted = writeHead(
      Store, Current,
      store::nextHead(Current.Head, {ManifestHash, Request.Author,
                                     Request.Reason, Now, Request.WriteId}));
  if (!Accepted)
    return Accepted.failure();
  return acceptance_result{false, std::move(*Accepted), ObjectsWritten};
}

static acceptance_result makeUnchangedResult(const config_head &Head,
                                             std::size_t ObjectsWritten) {
  return {true, *store::findVersion(Head, Head.Version), ObjectsWritten};
}

result<acceptance_result>
acceptConfiguration(sync_store &Store, const observed_head &Current,
                    const std::vector<config::site_configuration> &Sites,
                    const acceptance_request &Request, wall_time Now) {
  version_objects Objects = buildVersionObjects(Sites);
  if (Objects.ManifestText.size() > config::MaxPartBytes)
    return makeError(operator_errc::Refused,
                     "the manifest has " +
                         std::to_string(Objects.ManifestText.size()) +
                         " bytes, more than a platform object can hold; put "
                         "fewer sites into one configuration");
  std::string ManifestHash = contentHash(Objects.ManifestText);
  bool Unchanged = Current.Head.ManifestHash == ManifestHash;
  if (Unchanged && !Request.RewriteObjects)
    return makeUnchangedResult(Current.Head, 0);
  std::set<std::string> ExistingHashes;
  if (!Request.RewriteObjects) {
    auto ActiveHashes = readActiveHashes(Store, Current.Head);
    if (!ActiveHashes)
      return ActiveHashes.failure();
    ExistingHashes = std::move(*ActiveHashes);
  }
  auto Written = writeObjects(Store, Objects, ExistingHashes);
  if (!Written)
    return Written.failure();
  if (Unchanged)
    return makeUnchangedResult(Current.Head, *Written);
  return updateHead(Store, Current, ManifestHash, *Written, Request, Now);
}

result<acceptance_result>
rollBackConfiguration(sync_store &Store, const observed_head &Current,
                      config_version Target, const acceptance_request &Request,
                      wall_time Now) {
  auto Retained = store::findVersion(Current.Head, Target);
  if (!Retained)
    return makeError(operator_errc::Refused,
                     "version " + std::to_string(Target) +
                         " is not among the last " +
                         std::to_string(store::MaxRetainedVersions) +
                         " versions; history lists these");
  if (Retained->ManifestHash == Current.Head.ManifestHash)
    return makeUnchangedResult(Current.Head, 0);
  // Every node would reject a version whose manifest is missing.
  if (auto Manifest = readManifest(Store, Retained->ManifestHash); !Manifest)
    return Manifest.failure();
  return updateHead(Store, Current, Retained->ManifestHash, 0, Request, Now);
}

} // namespace gentianlug::operator_cli
