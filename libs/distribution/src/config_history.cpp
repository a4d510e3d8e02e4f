#include "gentianlug/distribution/config_history.h"

#include "gentianlug/core/hash.h"
#include "gentianlug/distribution/distribution_errc.h"

#include <algorithm>

namespace gentianlug::distribution {

using config::part;

config_version config_history::newestVersion() const {
  return Images.empty() ? 0 : Images.back().Version;
}

const config_history::retained_image *
config_history::find(config_version Version) const {
  for (const retained_image &Image : Images)
    if (Image.Version == Version)
      return &Image;
  return nullptr;
}

void config_history::add(config_image Image) {
  if (Image.Version <= newestVersion())
    return;
  retained_image Kept{Image.Version, std::move(Image.RootHash), {}};
  for (auto &[Name, Part] : Image.Parts) {
    std::shared_ptr<const part> Shared;
    if (!Images.empty()) {
      auto Old = Images.back().Parts.find(Name);
      if (Old != Images.back().Parts.end() && Old->second->Hash == Part.Hash)
        Shared = Old->second;
    }
    if (!Shared)
      Shared = std::make_shared<const part>(std::move(Part));
    Kept.Parts.emplace(Name, std::move(Shared));
  }
  Images.push_back(std::move(Kept));
  if (Images.size() > MaxRetainedVersions)
    Images.pop_front();
}

/// Returns the patch that turns \p Old into \p New.
static part_patch makePatch(const std::string &Name, const std::string &Old,
                            const part &New) {
  const std::string &Text = New.Text;
  std::size_t MinSize = std::min(Old.size(), Text.size());
  auto Prefix = std::size_t(std::mismatch(Old.begin(),
                                          Old.begin() + std::ptrdiff_t(MinSize),
                                          Text.begin())
                                .first -
                            Old.begin());
  auto Suffix =
      std::size_t(std::mismatch(Old.rbegin(),
                                Old.rbegin() + std::ptrdiff_t(MinSize - Prefix),
                                Text.rbegin())
                      .first -
                  Old.rbegin());
  return {Name, Prefix, Suffix,
          Text.substr(Prefix, Text.size() - Prefix - Suffix)};
}

std::optional<config_update>
config_history::updateFor(config_version Held) const {
  if (Images.empty() || Images.back().Version <= Held)
    return std::nullopt;
  const retained_image &Newest = Images.back();
  const retained_image *Base = find(Held);
  config_update Update{
      Newest.Version, Newest.RootHash, Base ? Held : 0, {}, {}};
  for (const auto &[Name, Part] : Newest.Parts) {
    const part *Old = nullptr;
    if (Base) {
      auto Entry = Base->Parts.find(Name);
      Old = Entry == Base->Parts.end() ? nullptr : Entry->second.get();
    }
    if (!Old || Old->Hash != Part->Hash)
      Update.ChangedParts.push_back(
          makePatch(Name, Old ? Old->Text : std::string(), *Part));
  }
  if (Base)
    for (const auto &[Name, Part] : Base->Parts)
      if (!Newest.Parts.count(Name))
        Update.RemovedParts.push_back(Name);
  return Update;
}

/// Applies a patch. Errors: `BadPatch`.
static result<part> applyPatch(const part_patch &Patch,
                               const std::string &Old) {
  if (Patch.PrefixLength > Old.size() ||
      Patch.SuffixLength > Old.size() - Patch.PrefixLength)
    return makeError(distribution_errc::BadPatch, Patch.Name);
  std::string Text = Old.substr(0, Patch.PrefixLength) + Patch.Replacement +
                     Old.substr(Old.size() - Patch.SuffixLength);
  return part{contentHash(Text), std::move(Text)};
}

result<config_image> config_history::build(const config_update &Update) const {
  const retained_image *Base = find(Update.BaseVersion);
  if (Update.BaseVersion != 0 && !Base)
    return makeError(distribution_errc::UnknownBase,
                     std::to_string(Update.BaseVersion));
  config_image Image{Update.Version, Update.RootHash, {}};
  if (Base)
    for (const auto &[Name, Part] : Base->Parts)
      Image.Parts.emplace(Name, *Part);
  for (const std::string &Name : Update.RemovedParts)
    Image.Parts.erase(Name);
  for (const part_patch &Patch : Update.ChangedParts) {
    part &Target = Image.Parts[Patch.Name];
    auto Patched = applyPatch(Patch, Target.Text);
    if (!Patched)
      return Patched.failure();
    Target = std::move(*Patched);
  }
  return Image;
}

} // namespace gentianlug::distribution
