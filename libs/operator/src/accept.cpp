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

/// Writes of the head after lost answers, before the command gives up.
static constexpr unsigned MaxHeadWrites = 5;

namespace {

/// The objects of a version: texts by hash, the manifest last.
struct version_objects {
  std::map<std::string, std::string> Parts;
  std::string ManifestText;
};

} // namespace

static version_objects
cutSites(const std::vector<config::site_configuration> &Sites) {
  version_objects Objects;
  store::config_manifest Manifest;
  for (const config::site_configuration &Site : Sites) {
    config::part_map Parts = config::cutIntoParts(Site);
    config::part_hashes Hashes = config::hashesOf(Parts);
    Manifest.Sites[Site.Site] = {config::rootHash(Hashes), Hashes};
    for (auto &[Name, Part] : Parts)
      Objects.Parts.emplace(Part.Hash, std::move(Part.Text));
  }
  Objects.ManifestText = wire::encode(Manifest);
  return Objects;
}

/// Returns the hashes that the version in force refers to. An unreadable
/// manifest protects nothing, so everything is written.
static result<std::set<std::string>> hashesInForce(sync_store &Store,
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

static error contentFailure(const error &Cause) {
  if (Cause.Code == make_error_code(operator_errc::PlatformDown))
    return Cause;
  return makeError(operator_errc::Refused, Cause.message());
}

/// Writes what \p Present lacks; returns the number of objects written.
static result<std::size_t> writeObjects(sync_store &Store,
                                        const version_objects &Objects,
                                        const std::set<std::string> &Present) {
  std::size_t Count = 0;
  for (const auto &[Hash, Text] : Objects.Parts) {
    if (Present.count(Hash))
      continue;
    auto Written = Store.putContent(store::contentKey(Hash), Text);
    if (!Written)
      return contentFailure(Written.failure());
    ++Count;
  }
  auto Written =
      Store.putContent(store::contentKey(contentHash(Objects.ManifestText)),
                       Objects.ManifestText);
  if (!Written)
    return contentFailure(Written.failure());
  return Count + 1;
}

static error lostRace(const accepted_version &Winner) {
  return makeError(operator_errc::Refused,
                   Winner.Author + " was faster with version " +
                       std::to_string(Winner.Version) + " (" + Winner.Reason +
                       "); nothing of yours was accepted. Look at it with "
                       "diff and apply again");
}

static error unknownOutcome(config_version Version, const error &Cause) {
  return makeError(operator_errc::PlatformDown,
                   "the answer to the write of version " +
                       std::to_string(Version) +
                       " was lost, so it may be accepted or not; the same "
                       "apply can be repeated safely (" +
                       Cause.message() + ")");
}

/// Writes the head; a lost answer is judged from what is read afterwards.
static result<accepted_version> writeHead(sync_store &Store,
                                          const observed_head &Current,
                                          const config_head &Next) {
  for (unsigned Try = 0; Try < MaxHeadWrites; ++Try) {
    auto Written =
        Store.putIf(store::ConfigHeadKey, wire::encode(Next), Current.Revision);
    if (Written)
      return *store::findVersion(Next, Next.Version);
    bool Open = hasCode(Written.failure(), store_errc::NoAnswer) ||
                hasCode(Written.failure(), store_errc::Conflict);
    if (!Open)
      return contentFailure(Written.failure());
    auto Observed = readHead(Store);
    if (!Observed)
      return unknownOutcome(Next.Version, Observed.failure());
    auto Verdict =
        store::determineWriteOutcome(Next, Current.Revision, *Observed);
    if (Verdict.Outcome == write_outcome::Accepted)
      return Verdict.Version;
    if (Verdict.Outcome == write_outcome::LostRace)
      return lostRace(Verdict.Version);
    if (Verdict.Outcome == write_outcome::Unknown)
      return unknownOutcome(Next.Version, Written.failure());
  }
  return unknownOutcome(Next.Version,
                        makeError(store_errc::NoAnswer, "live/config"));
}

static result<acceptance_result>
moveHead(sync_store &Store, const observed_head &Current,
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

static acceptance_result alreadyInForce(const config_head &Head,
                                        std::size_t ObjectsWritten) {
  return {true, *store::findVersion(Head, Head.Version), ObjectsWritten};
}

result<acceptance_result>
acceptConfiguration(sync_store &Store, const observed_head &Current,
                    const std::vector<config::site_configuration> &Sites,
                    const acceptance_request &Request, wall_time Now) {
  version_objects Objects = cutSites(Sites);
  if (Objects.ManifestText.size() > config::MaxPartBytes)
    return makeError(operator_errc::Refused,
                     "the manifest has " +
                         std::to_string(Objects.ManifestText.size()) +
                         " bytes, more than one platform object holds; use "
                         "fewer sites in one configuration");
  std::string ManifestHash = contentHash(Objects.ManifestText);
  bool Same = Current.Head.ManifestHash == ManifestHash;
  if (Same && !Request.RewriteObjects)
    return alreadyInForce(Current.Head, 0);
  std::set<std::string> Present;
  if (!Request.RewriteObjects) {
    auto InForce = hashesInForce(Store, Current.Head);
    if (!InForce)
      return InForce.failure();
    Present = std::move(*InForce);
  }
  auto Written = writeObjects(Store, Objects, Present);
  if (!Written)
    return Written.failure();
  if (Same)
    return alreadyInForce(Current.Head, *Written);
  return moveHead(Store, Current, ManifestHash, *Written, Request, Now);
}

result<acceptance_result>
rollBackConfiguration(sync_store &Store, const observed_head &Current,
                      config_version Back, const acceptance_request &Request,
                      wall_time Now) {
  auto Earlier = store::findVersion(Current.Head, Back);
  if (!Earlier)
    return makeError(operator_errc::Refused,
                     "version " + std::to_string(Back) +
                         " is not among the last " +
                         std::to_string(store::MaxRetainedVersions) +
                         " versions; history lists them");
  if (Earlier->ManifestHash == Current.Head.ManifestHash)
    return alreadyInForce(Current.Head, 0);
  // A version whose manifest is gone would be refused by every node.
  if (auto Manifest = readManifest(Store, Earlier->ManifestHash); !Manifest)
    return Manifest.failure();
  return moveHead(Store, Current, Earlier->ManifestHash, 0, Request, Now);
}

} // namespace gentianlug::operator_cli
