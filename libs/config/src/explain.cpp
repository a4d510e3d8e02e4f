#include "gentianlug/config/explain.h"

#include "detail/json_model.h"
#include "detail/source_document.h"
#include "gentianlug/config/config_errc.h"

namespace gentianlug::config {

using nlohmann::json;

namespace {

/// Collects the values below a path and their origins.
class origin_collector {
public:
  origin_collector(const detail::source_document &Base,
                   const detail::source_document &Overlay)
      : Base(Base), Overlay(Overlay) {}

  /// Recursion depth is bounded, because \p Value is serialized from the
  /// configuration model.
  void addValuesBelow(const json &Value, const std::string &Path) {
    if (!Value.is_object())
      return addValue(Value, Path);
    for (const auto &Item : Value.items())
      addValuesBelow(Item.value(),
                     Path.empty() ? Item.key() : Path + "." + Item.key());
  }

  std::vector<value_origin> Origins;

private:
  void addValue(const json &Value, const std::string &Path) {
    value_origin Origin{Path, Value.dump(), value_source::Default, "", 0};
    if (auto Line = Overlay.lineOf(Path))
      setSource(Origin, value_source::Overlay, Overlay, *Line);
    else if (auto BaseLine = Base.lineOf(Path))
      setSource(Origin, value_source::Base, Base, *BaseLine);
    Origins.push_back(std::move(Origin));
  }

  static void setSource(value_origin &Origin, value_source Source,
                        const detail::source_document &File,
                        std::uint32_t Line) {
    Origin.Source = Source;
    Origin.File = File.path();
    Origin.Line = Line;
  }

  const detail::source_document &Base;
  const detail::source_document &Overlay;
};

} // namespace

/// Returns the value at \p Path, or null if there is none.
static const json *findValue(const json &Root, const std::string &Path) {
  const json *Value = &Root;
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
  json Root = detail::toJsonByName(*Compiled);
  const json *Value = findValue(Root, Path);
  if (!Value)
    return makeError(config_errc::UnknownPath, Path);
  std::vector<compile_fault> Faults;
  detail::source_document BaseFile(Base, Faults);
  detail::source_document OverlayFile(Overlay, Faults);
  origin_collector Collector(BaseFile, OverlayFile);
  Collector.addValuesBelow(*Value, Path);
  return std::move(Collector.Origins);
}

} // namespace gentianlug::config
