#include "gentianlug/node/config_fetcher.h"

#include "gentianlug/config/assembler.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/platform_values.h"

namespace gentianlug::node {

using config::config_errc;

/// Part reads under way at a time, so that a large version does not use up the
/// platform's rate.
static constexpr std::size_t MaxReadsInFlight = 8;

struct config_fetcher::impl : std::enable_shared_from_this<impl> {
  store::object_store &Store;
  site_name Site;
  /// Parts of the last complete version, by hash.
  std::map<std::string, std::string> Known;
  config::assembler Assembler;

  std::uint64_t Generation = 0;
  store::config_head Head;
  callback Done;
  store::site_manifest Manifest;
  std::vector<std::string> Missing;
  std::size_t InFlight = 0;
  std::map<std::string, std::string> Texts;

  impl(store::object_store &Store, site_name Site)
      : Store(Store), Site(std::move(Site)) {}

  void finish(result<fetched_configuration> Result) {
    ++Generation;
    callback Finished = std::move(Done);
    Finished(std::move(Result));
  }

  void read(const std::string &Hash,
            std::function<void(const std::string &)> Next) {
    auto Self = shared_from_this();
    Store.get(store::contentKey(Hash), [Self, Hash, Expected = Generation,
                                        Next = std::move(Next)](
                                           result<store::object> Object) {
      if (Expected != Self->Generation)
        return;
      if (!Object)
        return Self->finish(Self->readFailure(Hash, Object.failure()));
      Next(Object->Value);
    });
  }

  /// A missing object is a fault of the version, no answer one of the moment.
  static error readFailure(const std::string &Hash, const error &Cause) {
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
      auto Cached = Known.find(Hash);
      if (Cached != Known.end())
        Texts.emplace(Hash, Cached->second);
      else
        Missing.push_back(Hash);
    }
    readMore();
  }

  void readMore() {
    while (!Missing.empty() && InFlight < MaxReadsInFlight) {
      std::string Hash = std::move(Missing.back());
      Missing.pop_back();
      ++InFlight;
      read(Hash, [this, Hash](const std::string &Text) {
        --InFlight;
        Texts.emplace(Hash, Text);
        readMore();
      });
    }
    if (Missing.empty() && InFlight == 0)
      complete();
  }

  void complete() {
    fetched_configuration Fetched;
    for (const auto &[Name, Hash] : Manifest.Parts)
      Fetched.Parts.emplace(Name, config::part{Hash, Texts[Hash]});
    auto Assembled = Assembler.assemble(Fetched.Parts, Manifest.RootHash);
    if (!Assembled)
      return finish(Assembled.failure());
    auto Versioned = std::make_shared<config::versioned_configuration>();
    Versioned->Version = Head.Version;
    Versioned->RootHash = Manifest.RootHash;
    Versioned->Configuration = std::move(*Assembled);
    Fetched.Configuration = std::move(Versioned);
    Known = std::move(Texts);
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
  Impl->Missing.clear();
  Impl->InFlight = 0;
  Impl->Texts.clear();
  Impl->read(Head.ManifestHash, [Self = Impl.get()](const std::string &Text) {
    Self->onManifest(Text);
  });
}

} // namespace gentianlug::node
