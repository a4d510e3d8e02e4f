#include "gentianlug/config/compile.h"

#include "detail/json_model.h"
#include "detail/merge.h"
#include "detail/source_document.h"
#include "gentianlug/config/check.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/config/parts.h"

#include <algorithm>

namespace gentianlug::config {

using detail::source_document;

std::string compile_fault::str() const {
  std::string Location = File + ":" + std::to_string(Line) + ": ";
  return Path.empty() ? Location + Reason : Location + Path + ": " + Reason;
}

/// Attributes a fault to the file and line that define the value, preferring
/// the overlay over the base.
static compile_fault locateFault(const source_document &Base,
                                 const source_document &Overlay,
                                 const settings::fault &Fault) {
  bool InOverlay =
      Overlay.lineOf(Fault.Path) ||
      (!Base.lineOf(Fault.Path) && Overlay.containsEntry(Fault.Path) &&
       !Base.containsEntry(Fault.Path));
  const source_document &Source = InOverlay ? Overlay : Base;
  return {Source.path(), Source.nearestLine(Fault.Path), Fault.Path,
          Fault.Reason};
}

static void compileOverlay(const site_name &Site, const source_document &Base,
                           const source_document &Overlay,
                           const compile_input &Input, compile_output &Output) {
  nlohmann::json Merged = detail::mergeDocuments(Base, Overlay, Output.Faults);
  Merged["site"] = Site.str();
  settings::fault_list Faults("");
  settings::object_reader Reader(Merged, "", Faults);
  site_configuration Configuration = detail::readConfiguration(Reader);
  auto AddFaults = [&](const std::vector<config_fault> &NewFaults) {
    for (const config_fault &Fault : NewFaults)
      Faults.add(Fault.Path, Fault.Reason);
  };
  AddFaults(checkConfiguration(Configuration));
  AddFaults(checkFinishTimes(Configuration, Input.Now, Input.ActiveRollouts));
  AddFaults(checkPartSizes(Configuration));
  for (const settings::fault &Fault : Faults.list())
    Output.Faults.push_back(locateFault(Base, Overlay, Fault));
  Output.Sites.push_back(std::move(Configuration));
}

compile_output compileAll(const compile_input &Input) {
  compile_output Output;
  source_document Base(Input.Base, Output.Faults);
  for (const auto &[Site, File] : Input.Overlays) {
    source_document Overlay(File, Output.Faults);
    compileOverlay(Site, Base, Overlay, Input, Output);
  }
  // Faults in the base file are reported once per site.
  std::sort(Output.Faults.begin(), Output.Faults.end());
  Output.Faults.erase(std::unique(Output.Faults.begin(), Output.Faults.end()),
                      Output.Faults.end());
  return Output;
}

result<site_configuration> compileSite(const site_name &Site,
                                       const source_file &Base,
                                       const source_file &Overlay,
                                       wall_time Now) {
  compile_output Output = compileAll({Base, {{Site, Overlay}}, Now, {}});
  if (Output.Faults.empty())
    return std::move(Output.Sites.front());
  std::string Text;
  for (const compile_fault &Fault : Output.Faults)
    Text += (Text.empty() ? "" : "\n") + Fault.str();
  return makeError(config_errc::InvalidConfiguration, Text);
}

} // namespace gentianlug::config
