#include "gentianlug/operator/accept.h"

#include "gentianlug/config/parts.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/platform/keys.h"
#include "gentianlug/platform/platform_errc.h"
#include "gentianlug/wire/platform_values.h"

namespace gentianlug::operator_cli {

using platform::config_head;
using platform::platform_errc;

static bool hasCode(const error &Failure, platform_errc Code) {
  return Failure.Code == make_error_code(Code);
}

static error platformFailure(const error &Cause) {
  bool NoAnswer = hasCode(Cause, platform_errc::NoAnswer);
  return makeError(NoAnswer ? operator_errc::PlatformDown
                            : operator_errc::NotAccepted,
                   Cause.message());
}

/// Writes a content-addressed object; one that exists already is the same.
static result<void> writeContent(sync_store &Store, const std::string &Text) {
  auto Written = Store.put(platform::contentKey(contentHash(Text)), Text, 0);
  if (Written || hasCode(Written.failure(), platform_errc::Conflict))
    return {};
  return platformFailure(Written.failure());
}

static result<std::string> writeParts(sync_store &Store,
                                      const acceptance_request &Request) {
  platform::config_manifest Manifest;
  for (const config::site_configuration &Site : Request.Sites) {
    config::part_map Parts = config::cutIntoParts(Site);
    for (const auto &[Name, Part] : Parts)
      if (auto Written = writeContent(Store, Part.Text); !Written)
        return Written.failure();
    config::part_hashes Hashes = config::hashesOf(Parts);
    Manifest.Sites[Site.Site] = {config::rootHash(Hashes), Hashes};
  }
  std::string Text = wire::encode(Manifest);
  if (auto Written = writeContent(Store, Text); !Written)
    return Written.failure();
  return contentHash(Text);
}

/// The head with its revision; revision 0 before the first version.
struct current_head {
  config_head Head;
  object_revision Revision = 0;
};

static result<current_head> readHead(sync_store &Store) {
  auto Object = Store.get(platform::ConfigHeadKey);
  if (!Object && hasCode(Object.failure(), platform_errc::NotFound))
    return current_head{};
  if (!Object)
    return platformFailure(Object.failure());
  auto Head = wire::decodeConfigHead(Object->Value);
  if (!Head)
    return makeError(operator_errc::NotAccepted, Head.failure().message());
  return current_head{*Head, Object->Revision};
}

static error lostRace(const config_head &Winner) {
  return makeError(operator_errc::NotAccepted,
                   Winner.Author + " was faster with version " +
                       std::to_string(Winner.Version) + " (" + Winner.Reason +
                       "); look at it and apply again");
}

result<config_head> acceptConfiguration(sync_store &Store,
                                        const acceptance_request &Request,
                                        wall_time Now) {
  auto Current = readHead(Store);
  if (!Current)
    return Current.failure();
  auto ManifestHash = writeParts(Store, Request);
  if (!ManifestHash)
    return ManifestHash.failure();
  config_head Next{Current->Head.Version + 1,
                   *ManifestHash,
                   Request.Author,
                   Request.Reason,
                   Now,
                   Request.WriteId};
  auto Written =
      Store.put(platform::ConfigHeadKey, wire::encode(Next), Current->Revision);
  if (Written)
    return Next;
  // The answer may be lost after the write took effect: the write id tells.
  auto After = readHead(Store);
  if (!After)
    return After.failure();
  if (After->Head.WriteId == Request.WriteId)
    return Next;
  if (After->Revision != Current->Revision)
    return lostRace(After->Head);
  return platformFailure(Written.failure());
}

} // namespace gentianlug::operator_cli
