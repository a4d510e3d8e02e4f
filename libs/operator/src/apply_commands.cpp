#include "command_groups.h"
#include "compile_input.h"
#include "facts.h"
#include "gentianlug/operator/accept.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/store/keys.h"
#include "text.h"

#include <algorithm>

namespace gentianlug::operator_cli {

using config::site_configuration;
using store::observed_head;

namespace {

/// A version by site; version 0 has no sites.
struct site_set {
  config_version Version = 0;
  std::vector<site_configuration> Sites;
};

/// Files with the result of their compile.
struct compiled_files {
  config::compile_input Input;
  config::compile_output Output;
};

} // namespace

static bool isDown(const error &Failure) {
  return Failure.Code == make_error_code(operator_errc::PlatformDown);
}

/// Reads the head. A malformed one can be replaced only when the operator
/// names the newest version in force, since versions must grow.
static result<observed_head> headToReplace(command_context &Context) {
  auto Head = readHead(Context.Store);
  const auto &After = Context.Options.AfterVersion;
  if (Head && !After)
    return Head;
  if (Head)
    return makeError(operator_errc::BadArguments,
                     "--after-version is only for a malformed live/config");
  if (isDown(Head.failure()))
    return Head.failure();
  if (!After)
    return makeError(operator_errc::Refused,
                     Head.failure().Detail +
                         "; find the newest version in force with status and "
                         "name it with --after-version");
  auto Object = Context.Store.get(store::ConfigHeadKey);
  if (!Object)
    return Object.failure();
  observed_head Replaced;
  Replaced.Head.Version = *After;
  Replaced.Revision = Object->Revision;
  return Replaced;
}

/// Reads the sites of an accepted version, without the parts in \p Known.
static result<site_set> readVersion(sync_store &Store,
                                    const store::accepted_version &Version,
                                    const config::part_map &Known) {
  auto Sites = readSites(Store, Version.ManifestHash, Known);
  if (!Sites)
    return Sites.failure();
  return site_set{Version.Version, std::move(*Sites)};
}

static result<site_set> readInForce(sync_store &Store,
                                    const store::config_head &Head,
                                    const config::part_map &Known) {
  auto Newest = store::findVersion(Head, Head.Version);
  if (!Newest || Newest->ManifestHash.empty())
    return site_set{};
  return readVersion(Store, *Newest, Known);
}

/// Returns whether a rollout's finish time is among the faults.
static bool hasFinishFault(const std::vector<config::compile_fault> &Faults) {
  return std::any_of(Faults.begin(), Faults.end(),
                     [](const config::compile_fault &Fault) {
                       return Fault.Path.starts_with("rollouts.") &&
                              Fault.Path.ends_with(".finish_by");
                     });
}

/// Compiles the files before the platform is asked for anything. Faults that
/// the version in force can excuse are left to `settleRollouts`.
static result<compiled_files> compileFiles(command_context &Context) {
  auto Input = readInput(Context.Options, Context.Driver.wallNow());
  if (!Input)
    return Input.failure();
  compiled_files Files{std::move(*Input), {}};
  Files.Output = config::compileAll(Files.Input);
  if (Files.Output.Faults.empty() || hasFinishFault(Files.Output.Faults))
    return Files;
  return compileFailure(Files.Output.Faults);
}

/// A rollout without time left is no fault when the version in force has it
/// already. That version is read only in this case.
static result<std::vector<site_configuration>>
settleRollouts(command_context &Context, const observed_head &Head,
               compiled_files Files) {
  if (Files.Output.Faults.empty())
    return std::move(Files.Output.Sites);
  auto InForce = readInForce(Context.Store, Head.Head, {});
  if (!InForce && isDown(InForce.failure()))
    return InForce.failure();
  if (InForce)
    for (const site_configuration &Site : InForce->Sites)
      for (const config::rollout &Rollout : Site.Rollouts)
        Files.Input.RolloutsInForce.insert(Rollout.id());
  Files.Output = config::compileAll(Files.Input);
  if (!Files.Output.Faults.empty())
    return compileFailure(Files.Output.Faults);
  return std::move(Files.Output.Sites);
}

/// Refuses to lose a site that an overlay was forgotten for.
static result<void> checkSites(command_context &Context,
                               const store::config_head &Head) {
  if (Head.Version == 0 || Head.ManifestHash.empty())
    return {};
  auto Manifest = readManifest(Context.Store, Head.ManifestHash);
  if (!Manifest && isDown(Manifest.failure()))
    return Manifest.failure();
  if (!Manifest)
    return {};
  const options &Options = Context.Options;
  for (const auto &[Site, Parts] : Manifest->Sites) {
    auto IsSite = [&Name = Site](const auto &Entry) {
      return Entry.first == Name;
    };
    bool Given =
        std::any_of(Options.Overlays.begin(), Options.Overlays.end(), IsSite);
    bool Dropped = std::count(Options.DroppedSites.begin(),
                              Options.DroppedSites.end(), Site) > 0;
    if (!Given && !Dropped)
      return makeError(operator_errc::Refused,
                       "site " + Site.str() +
                           " is in force, but no overlay is given for it; "
                           "add --overlay " +
                           Site.str() + "=FILE or --drop-site " + Site.str());
  }
  return {};
}

static acceptance_request requestOf(command_context &Context) {
  const options &Options = Context.Options;
  return {Options.Author, Options.Reason, drawHexId(Context.Gen),
          Options.RewriteObjects};
}

static command_report reportAcceptance(const acceptance_result &Result) {
  command_report Report;
  std::string Version = std::to_string(Result.Version.Version);
  if (Result.AlreadyInForce)
    Report.add("This is version " + Version +
               ", which is in force already; nothing new was accepted.");
  if (Result.AlreadyInForce && Result.ObjectsWritten > 0)
    Report.add(std::to_string(Result.ObjectsWritten) +
               " objects were written again.");
  if (!Result.AlreadyInForce)
    Report.add("Version " + Version + " is accepted.");
  Report.ReportJson = toReportJson(Result.Version);
  Report.ReportJson["accepted"] = !Result.AlreadyInForce;
  Report.ReportJson["objects_written"] = Result.ObjectsWritten;
  return Report;
}

static result<acceptance_result> applyFiles(command_context &Context,
                                            const observed_head &Head,
                                            compiled_files Files) {
  auto Sites = settleRollouts(Context, Head, std::move(Files));
  if (!Sites)
    return Sites.failure();
  if (auto Checked = checkSites(Context, Head.Head); !Checked)
    return Checked.failure();
  return acceptConfiguration(Context.Store, Head, *Sites, requestOf(Context),
                             Context.Driver.wallNow());
}

static result<acceptance_result> applyEarlier(command_context &Context) {
  if (!Context.Options.Base.empty() || !Context.Options.Overlays.empty())
    return makeError(operator_errc::BadArguments,
                     "--back-to takes no files; it uses those of the version");
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  return rollBackConfiguration(Context.Store, *Head, *Context.Options.BackTo,
                               requestOf(Context), Context.Driver.wallNow());
}

static result<acceptance_result> applyNew(command_context &Context) {
  auto Files = compileFiles(Context);
  if (!Files)
    return Files.failure();
  auto Head = headToReplace(Context);
  if (!Head)
    return Head.failure();
  return applyFiles(Context, *Head, std::move(*Files));
}

result<command_report> runApply(command_context &Context) {
  auto Result =
      Context.Options.BackTo ? applyEarlier(Context) : applyNew(Context);
  if (!Result)
    return Result.failure();
  return reportAcceptance(*Result);
}

static result<std::vector<site_configuration>>
readEarlier(command_context &Context, const observed_head &Head) {
  auto Earlier = store::findVersion(Head.Head, *Context.Options.BackTo);
  if (!Earlier)
    return makeError(operator_errc::Refused,
                     "version " + std::to_string(*Context.Options.BackTo) +
                         " is not kept any more; history lists those that are");
  auto Version = readVersion(Context.Store, *Earlier, {});
  if (!Version)
    return Version.failure();
  return std::move(Version->Sites);
}

/// The head, and the sites that the change would put in force.
static result<std::pair<observed_head, std::vector<site_configuration>>>
readTarget(command_context &Context) {
  result<compiled_files> Files = compiled_files{};
  if (!Context.Options.BackTo)
    Files = compileFiles(Context);
  if (!Files)
    return Files.failure();
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  auto Sites = Context.Options.BackTo
                   ? readEarlier(Context, *Head)
                   : settleRollouts(Context, *Head, std::move(*Files));
  if (!Sites)
    return Sites.failure();
  return std::pair(std::move(*Head), std::move(*Sites));
}

static const site_configuration *
findSite(const std::vector<site_configuration> &Sites, const site_name &Name) {
  for (const site_configuration &Site : Sites)
    if (Site.Site == Name)
      return &Site;
  return nullptr;
}

static void reportSite(const site_name &Name, bool IsNew,
                       const site_configuration &Before,
                       const site_configuration &After,
                       command_report &Report) {
  std::vector<config::config_change> Changes =
      config::compareConfigurations(Before, After);
  if (IsNew)
    Report.add("Site " + Name.str() + " is new:");
  else if (!Changes.empty())
    Report.add("Site " + Name.str() + ":");
  for (const config::config_change &Change : Changes) {
    Report.add("  " + describe(Change));
    nlohmann::json Facts = toReportJson(Change);
    Facts["site"] = Name.str();
    Report.ReportJson["changes"].push_back(std::move(Facts));
  }
}

static command_report
reportDifference(const site_set &InForce,
                 const std::vector<site_configuration> &To) {
  command_report Report;
  Report.ReportJson["changes"] = nlohmann::json::array();
  Report.ReportJson["version_in_force"] = InForce.Version;
  for (const site_configuration &After : To) {
    const site_configuration *Before = findSite(InForce.Sites, After.Site);
    reportSite(After.Site, !Before, Before ? *Before : site_configuration{},
               After, Report);
  }
  for (const site_configuration &Before : InForce.Sites)
    if (!findSite(To, Before.Site)) {
      Report.add("Site " + Before.Site.str() + " would be left out.");
      Report.ReportJson["sites_left_out"].push_back(Before.Site.str());
    }
  std::string Base = "version " + std::to_string(InForce.Version);
  Report.Lines.insert(
      Report.Lines.begin(),
      InForce.Version == 0   ? "No version is in force; everything is new."
      : Report.Lines.empty() ? "Nothing changes against " + Base + "."
                             : "Against " + Base + ", which is in force:");
  return Report;
}

result<command_report> runDiff(command_context &Context) {
  auto Target = readTarget(Context);
  if (!Target)
    return Target.failure();
  const auto &[Head, Sites] = *Target;
  // Parts that both versions share need not be read.
  config::part_map Known;
  for (const site_configuration &Site : Sites)
    for (auto &[Name, Part] : config::cutIntoParts(Site))
      Known.emplace(Site.Site.str() + "/" + Name, Part);
  auto InForce = readInForce(Context.Store, Head.Head, Known);
  if (!InForce)
    return InForce.failure();
  return reportDifference(*InForce, Sites);
}

} // namespace gentianlug::operator_cli
