#include "command_groups.h"
#include "compile_input.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/settings/json_file.h"
#include "report_json.h"
#include "report_text.h"

namespace gentianlug::operator_cli {

static result<config::source_file> readSource(const std::string &Path) {
  auto Text = settings::readFile(Path);
  if (!Text)
    return makeError(operator_errc::Refused, Text.failure().message());
  return config::source_file{Path, std::move(*Text)};
}

result<config::compile_input> readInput(const options &Options, wall_time Now) {
  if (Options.Base.empty() || Options.Overlays.empty())
    return makeError(operator_errc::BadArguments,
                     "--base and at least one --overlay are required");
  config::compile_input Input;
  Input.Now = Now;
  auto Base = readSource(Options.Base);
  if (!Base)
    return Base.failure();
  Input.Base = std::move(*Base);
  for (const auto &[Site, Path] : Options.Overlays) {
    auto Overlay = readSource(Path);
    if (!Overlay)
      return Overlay.failure();
    Input.Overlays.emplace_back(Site, std::move(*Overlay));
  }
  return Input;
}

error makeCompileError(const std::vector<config::compile_fault> &Faults) {
  std::string Text = "the configuration has " + std::to_string(Faults.size()) +
                     (Faults.size() == 1 ? " fault:" : " faults:");
  for (const config::compile_fault &Fault : Faults)
    Text += "\n  " + Fault.str();
  return makeError(operator_errc::Refused, Text);
}

static command_report
reportCompileFaults(const config::compile_output &Output) {
  command_report Report;
  Report.ReportJson["faults"] = toReportJsonArray(Output.Faults);
  Report.Code = Output.Faults.empty() ? Success : Refused;
  if (Report.Code == Refused)
    Report.add(describe(makeCompileError(Output.Faults)));
  return Report;
}

result<command_report> runCheck(command_context &Context) {
  auto Input = readInput(Context.Options, Context.Driver.wallNow());
  if (!Input)
    return Input.failure();
  config::compile_output Output = config::compileAll(*Input);
  command_report Report = reportCompileFaults(Output);
  if (Report.Code == Refused)
    return Report;
  for (const config::site_configuration &Site : Output.Sites)
    Report.add("Site " + Site.Site.str() +
               " is valid: " + std::to_string(Site.Services.size()) +
               " services, " + std::to_string(Site.Routes.size()) +
               " routes, " + std::to_string(Site.Rollouts.size()) +
               " rollouts, " + std::to_string(Site.Zones.size()) + " zones.");
  return Report;
}

result<command_report> runExplain(command_context &Context) {
  const std::vector<std::string> &Arguments = Context.Options.Arguments;
  if (Arguments.size() != 2)
    return makeError(operator_errc::BadArguments,
                     "explain takes exactly one path, for example "
                     "services.commandes.limits.slots");
  auto Input = readInput(Context.Options, Context.Driver.wallNow());
  if (!Input)
    return Input.failure();
  command_report Report;
  Report.ReportJson["values"] = nlohmann::json::array();
  for (const auto &[Site, Overlay] : Input->Overlays) {
    auto Origins = config::explainPath(Site, Input->Base, Overlay, Arguments[1],
                                       Context.Driver.wallNow());
    if (!Origins)
      return makeError(operator_errc::Refused, Origins.failure().message());
    for (const config::value_origin &Origin : *Origins) {
      Report.add("Site " + Site.str() + ": " + describe(Origin));
      nlohmann::json OriginJson = toReportJson(Origin);
      OriginJson["site"] = Site.str();
      Report.ReportJson["values"].push_back(std::move(OriginJson));
    }
  }
  return Report;
}

} // namespace gentianlug::operator_cli
