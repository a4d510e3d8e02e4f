#include "gentianlug/node/config_fetcher.h"

#include "gentianlug/config/assembler.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/platform_values.h"

namespace gentianlug::node {

using config::config_errc;

/// Maximum number of concurrent part reads, so that a large version does not
/// exhaust the rate limit of the platform.
static constexpr std::size_t MaxReadsInFlight = 8;

struct config_fetcher::impl : std::enable_shared_from_this<impl> {
  store::object_store &Store;
  site_name Site;
  /// Parts of the last complete version by hash.
  std::map<std::string, std::string> CachedParts;
  config::assembler Assembler;

  std::uint64_t Generation = 0;
  store::config_head Head;
  callback Done;
  store::site_manifest Manifest;
  std::vector<std::string> MissingHashes;
  std::size_t ReadsInFlight = 0;
  std::map<std::string, std::string> PartTexts;

  impl(store::object_store &Store, site_name Site)
      : Store(Store), Site(std::move(Site)) {}

  void finish(result<fetched_configuration> Result) {
    ++Generation;
    callback Finished = std::move(Done);
    Finished(std::move(Result));
  }

  void readObject(const std::string &Hash,
                  std::function<void(const std::string &)> Next) {
    auto Self = shared_from_this();
    Store.get(store::contentKey(Hash), [Self, Hash, Expected = Generation,
                                        Next = std::move(Next)](
                                           result<store::object> Object) {
      if (Expected != Self->Generation)
        return;
      if (!Object)
        return Self->finish(Self->toReadError(Hash, Object.failure()));
      Next(Object->Value);
    });
  }

  /// Maps a failed read to an error. A missing object means that the version is
  /// invalid; other read failures are temporary.
  static error toReadError(const std::string &Hash, const error &Cause) {
    if (Cause.Code == make_error_code(store::store_errc::NotFound))
      return makeError(config_errc::MissingPart, Hash);
    return Cause;
  }

  void onManifest(const std::string &Text) {
    auto Decoded = wire::decodeConfigManifest(Text);
    if (!Decoded)
      return finish(
          makeError(config_errc::MalformedPart, Decoded.failure().message()));
    auto Entry = Decoded->Sites.find(Site);
    if (Entry == Decoded->Sites.end())
      return finish(makeError(config_errc::UnknownSite, Site.str()));
    Manifest = std::move(Entry->second);
    for (const auto &[Name, Hash] : Manifest.Parts) {
      auto Cached = CachedParts.find(Hash);
      if (Cached != CachedParts.end())
        PartTexts.emplace(Hash, Cached->second);
      else
        MissingHashes.push_back(Hash);
    }
    readMissingParts();
  }

  void readMissingParts() {
    while (!MissingHashes.empty() && ReadsInFlight < MaxReadsInFlight) {
      std::string Hash = std::move(MissingHashes.back());
      MissingHashes.pop_back();
      ++ReadsInFlight;
      readObject(Hash, [this, Hash](const std::string &Text) {
        --ReadsInFlight;
        PartTexts.emplace(Hash, Text);
        readMissingParts();
      });
    }
    if (MissingHashes.empty() && ReadsInFlight == 0)
      complete();
  }

  void complete() {
    fetched_configuration Fetched;
    for (const auto &[Name, Hash] : Manifest.Parts)
      Fetched.Parts.emplace(Name, config::part{Hash, PartTexts[Hash]});
    auto Assembled = Assembler.assemble(Fetched.Parts, Manifest.RootHash);
    if (!Assembled)
      return finish(Assembled.failure());
    auto Versioned = std::make_shared<config::versioned_configuration>();
    Versioned->Version = Head.Version;
    Versioned->RootHash = Manifest.RootHash;
    Versioned->Configuration = std::move(*Assembled);
    Fetched.Configuration = std::move(Versioned);
    CachedParts = std::move(PartTexts);
    finish(std::move(Fetched));
  }
};

config_fetcher::config_fetcher(store::object_store &Store, site_name Site)
    : Impl(std::make_shared<impl>(Store, std::move(Site))) {}

config_fetcher::~config_fetcher() { ++Impl->Generation; }

void config_fetcher::fetch(const store::config_head &Head, callback Done) {
  ++Impl->Generation;
  Impl->Head = Head;
  Impl->Done = std::move(Done);
  Impl->Manifest = {};
  Impl->MissingHashes.clear();
  Impl->ReadsInFlight = 0;
  Impl->PartTexts.clear();
  Impl->readObject(
      Head.ManifestHash,
      [Self = Impl.get()](const std::string &Text) { Self->onManifest(Text); });
}

} // namespace gentianlug::node
