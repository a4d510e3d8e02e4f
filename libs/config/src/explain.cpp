#include "gentianlug/config/explain.h"

#include "detail/json_model.h"
#include "detail/source_document.h"
#include "gentianlug/config/config_errc.h"

namespace gentianlug::config {

using nlohmann::json;

namespace {

/// Lists the values below a path with their origins.
class origin_finder {
public:
  origin_finder(const detail::source_document &Base,
                const detail::source_document &Overlay)
      : Base(Base), Overlay(Overlay) {}

  /// The depth is bounded, since the effective values come from the model.
  void addAll(const json &Value, const std::string &Path) {
    if (!Value.is_object())
      return addOne(Value, Path);
    for (const auto &Item : Value.items())
      addAll(Item.value(), Path.empty() ? Item.key() : Path + "." + Item.key());
  }

  std::vector<value_origin> Origins;

private:
  void addOne(const json &Value, const std::string &Path) {
    value_origin Origin{Path, Value.dump(), value_source::Default, "", 0};
    if (auto Line = Overlay.lineOf(Path))
      set(Origin, value_source::Overlay, Overlay, *Line);
    else if (auto BaseLine = Base.lineOf(Path))
      set(Origin, value_source::Base, Base, *BaseLine);
    Origins.push_back(std::move(Origin));
  }

  static void set(value_origin &Origin, value_source Source,
                  const detail::source_document &File, std::uint32_t Line) {
    Origin.Source = Source;
    Origin.File = File.path();
    Origin.Line = Line;
  }

  const detail::source_document &Base;
  const detail::source_document &Overlay;
};

} // namespace

/// Returns the value at \p Path, or null.
static const json *descend(const json &Whole, const std::string &Path) {
  const json *Value = &Whole;
  for (std::size_t Start = 0; Start <= Path.size();) {
    std::size_t End = std::min(Path.find('.', Start), Path.size());
    if (!Value->is_object())
      return nullptr;
    auto Member = Value->find(Path.substr(Start, End - Start));
    if (Member == Value->end())
      return nullptr;
    Value = &*Member;
    Start = End + 1;
  }
  return Value;
}

result<std::vector<value_origin>> explainPath(const site_name &Site,
                                              const source_file &Base,
                                              const source_file &Overlay,
                                              const std::string &Path,
                                              wall_time Now) {
  auto Compiled = compileSite(Site, Base, Overlay, Now);
  if (!Compiled)
    return Compiled.failure();
  json Whole = detail::toJsonByName(*Compiled);
  const json *Value = descend(Whole, Path);
  if (!Value)
    return makeError(config_errc::UnknownPath, Path);
  std::vector<compile_fault> Faults;
  detail::source_document BaseFile(Base, Faults);
  detail::source_document OverlayFile(Overlay, Faults);
  origin_finder Finder(BaseFile, OverlayFile);
  Finder.addAll(*Value, Path);
  return std::move(Finder.Origins);
}

} // namespace gentianlug::config
