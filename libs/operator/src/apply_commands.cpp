#include "command_groups.h"
#include "compile_input.h"
#include "gentianlug/operator/accept.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/store/keys.h"
#include "report_json.h"
#include "report_text.h"

#include <algorithm>

namespace gentianlug::operator_cli {

using config::site_configuration;
using store::observed_head;

namespace {

/// The configuration of each site in a version; version 0 has no sites.
struct version_sites {
  config_version Version = 0;
  std::vector<site_configuration> Sites;
};

/// Input files and the result of compiling them.
struct compiled_files {
  config::compile_input Input;
  config::compile_output Output;
};

} // namespace

static bool isPlatformDown(const error &Failure) {
  return Failure.Code == make_error_code(operator_errc::PlatformDown);
}

/// Reads the head that the new version replaces. A malformed head is replaced
/// only if the operator states the newest active version, since version numbers
/// must increase.
static result<observed_head> readReplaceableHead(command_context &Context) {
  auto Head = readHead(Context.Store);
  const auto &After = Context.Options.AfterVersion;
  if (Head && !After)
    return Head;
  if (Head)
    return makeError(
        operator_errc::BadArguments,
        "--after-version is valid only for a malformed live/config");
  if (isPlatformDown(Head.failure()))
    return Head.failure();
  if (!After)
    return makeError(operator_errc::Refused,
                     Head.failure().Detail +
                         "; look up the newest version in force with status "
                         "and pass it with --after-version");
  auto Object = Context.Store.get(store::ConfigHeadKey);
  if (!Object)
    return Object.failure();
  observed_head Replaced;
  Replaced.Head.Version = *After;
  Replaced.Revision = Object->Revision;
  return Replaced;
}

/// Reads the sites of an accepted version, except the parts in \p Known.
static result<version_sites> readVersion(sync_store &Store,
                                         const store::accepted_version &Version,
                                         const config::part_map &Known) {
  auto Sites = readSites(Store, Version.ManifestHash, Known);
  if (!Sites)
    return Sites.failure();
  return version_sites{Version.Version, std::move(*Sites)};
}

/// Reads the sites of the active version, except the parts in \p Known.
static result<version_sites> readActiveVersion(sync_store &Store,
                                               const store::config_head &Head,
                                               const config::part_map &Known) {
  auto Newest = store::findVersion(Head, Head.Version);
  if (!Newest || Newest->ManifestHash.empty())
    return version_sites{};
  return readVersion(Store, *Newest, Known);
}

/// Returns whether one of the faults concerns the finish time of a rollout.
static bool
hasFinishTimeFault(const std::vector<config::compile_fault> &Faults) {
  return std::any_of(Faults.begin(), Faults.end(),
                     [](const config::compile_fault &Fault) {
                       return Fault.Path.starts_with("rollouts.") &&
                              Fault.Path.ends_with(".finish_by");
                     });
}

/// Compiles the files without access to the platform. Faults that may not apply
/// given the active version are left to `compileWithActiveRollouts`.
static result<compiled_files> compileFiles(command_context &Context) {
  auto Input = readInput(Context.Options, Context.Driver.wallNow());
  if (!Input)
    return Input.failure();
  compiled_files Files{std::move(*Input), {}};
  Files.Output = config::compileAll(Files.Input);
  if (Files.Output.Faults.empty() || hasFinishTimeFault(Files.Output.Faults))
    return Files;
  return makeCompileError(Files.Output.Faults);
}

/// Compiles again with the rollouts of the active version if the first compile
/// had faults: a finish time that is too near is no fault in a rollout that is
/// already active. The active version is read only in this case.
static result<std::vector<site_configuration>>
compileWithActiveRollouts(command_context &Context, const observed_head &Head,
                          compiled_files Files) {
  if (Files.Output.Faults.empty())
    return std::move(Files.Output.Sites);
  auto ActiveVersion = readActiveVersion(Context.Store, Head.Head, {});
  if (!ActiveVersion && isPlatformDown(ActiveVersion.failure()))
    return ActiveVersion.failure();
  if (ActiveVersion)
    for (const site_configuration &Site : ActiveVersion->Sites)
      for (const config::rollout &Rollout : Site.Rollouts)
        Files.Input.ActiveRollouts.insert(Rollout.id());
  Files.Output = config::compileAll(Files.Input);
  if (!Files.Output.Faults.empty())
    return makeCompileError(Files.Output.Faults);
  return std::move(Files.Output.Sites);
}

/// Refuses a configuration that omits an active site by mistake: one with
/// neither an overlay nor `--drop-site`.
static result<void> checkOmittedSites(command_context &Context,
                                      const store::config_head &Head) {
  if (Head.Version == 0 || Head.ManifestHash.empty())
    return {};
  auto Manifest = readManifest(Context.Store, Head.ManifestHash);
  if (!Manifest && isPlatformDown(Manifest.failure()))
    return Manifest.failure();
  if (!Manifest)
    return {};
  const options &Options = Context.Options;
  for (const auto &[Site, Parts] : Manifest->Sites) {
    auto IsSite = [&Name = Site](const auto &Entry) {
      return Entry.first == Name;
    };
    bool HasOverlay =
        std::any_of(Options.Overlays.begin(), Options.Overlays.end(), IsSite);
    bool Dropped = std::count(Options.DroppedSites.begin(),
                              Options.DroppedSites.end(), Site) > 0;
    if (!HasOverlay && !Dropped)
      return makeError(operator_errc::Refused,
                       "site " + Site.str() +
                           " is in force but has no overlay; "
                           "add --overlay " +
                           Site.str() + "=FILE or --drop-site " + Site.str());
  }
  return {};
}

static acceptance_request makeAcceptanceRequest(command_context &Context) {
  const options &Options = Context.Options;
  return {Options.Author, Options.Reason, drawHexId(Context.Gen),
          Options.RewriteObjects};
}

static command_report reportAcceptance(const acceptance_result &Result) {
  command_report Report;
  std::string Version = std::to_string(Result.Version.Version);
  if (Result.AlreadyActive)
    Report.add("This is version " + Version +
               ", which is in force already; nothing new was accepted.");
  if (Result.AlreadyActive && Result.ObjectsWritten > 0)
    Report.add(std::to_string(Result.ObjectsWritten) +
               " objects were written again.");
  if (!Result.AlreadyActive)
    Report.add("Version " + Version + " is accepted.");
  Report.ReportJson = toReportJson(Result.Version);
  Report.ReportJson["accepted"] = !Result.AlreadyActive;
  Report.ReportJson["objects_written"] = Result.ObjectsWritten;
  return Report;
}

static result<acceptance_result> acceptFiles(command_context &Context,
                                             const observed_head &Head,
                                             compiled_files Files) {
  auto Sites = compileWithActiveRollouts(Context, Head, std::move(Files));
  if (!Sites)
    return Sites.failure();
  if (auto Checked = checkOmittedSites(Context, Head.Head); !Checked)
    return Checked.failure();
  return acceptConfiguration(Context.Store, Head, *Sites,
                             makeAcceptanceRequest(Context),
                             Context.Driver.wallNow());
}

static result<acceptance_result> applyEarlierVersion(command_context &Context) {
  if (!Context.Options.Base.empty() || !Context.Options.Overlays.empty())
    return makeError(
        operator_errc::BadArguments,
        "--back-to takes no files; it uses the content of the version");
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  return rollBackConfiguration(Context.Store, *Head, *Context.Options.BackTo,
                               makeAcceptanceRequest(Context),
                               Context.Driver.wallNow());
}

static result<acceptance_result> applyNewVersion(command_context &Context) {
  auto Files = compileFiles(Context);
  if (!Files)
    return Files.failure();
  auto Head = readReplaceableHead(Context);
  if (!Head)
    return Head.failure();
  return acceptFiles(Context, *Head, std::move(*Files));
}

result<command_report> runApply(command_context &Context) {
  auto Result = Context.Options.BackTo ? applyEarlierVersion(Context)
                                       : applyNewVersion(Context);
  if (!Result)
    return Result.failure();
  return reportAcceptance(*Result);
}

static result<std::vector<site_configuration>>
readEarlierVersion(command_context &Context, const observed_head &Head) {
  auto Earlier = store::findVersion(Head.Head, *Context.Options.BackTo);
  if (!Earlier)
    return makeError(
        operator_errc::Refused,
        "version " + std::to_string(*Context.Options.BackTo) +
            " is no longer kept; history lists the versions that are");
  auto Version = readVersion(Context.Store, *Earlier, {});
  if (!Version)
    return Version.failure();
  return std::move(Version->Sites);
}

/// Returns the head and the sites as the change would configure them.
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
  auto Sites =
      Context.Options.BackTo
          ? readEarlierVersion(Context, *Head)
          : compileWithActiveRollouts(Context, *Head, std::move(*Files));
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
    nlohmann::json ChangeJson = toReportJson(Change);
    ChangeJson["site"] = Name.str();
    Report.ReportJson["changes"].push_back(std::move(ChangeJson));
  }
}

static command_report
reportDifference(const version_sites &ActiveVersion,
                 const std::vector<site_configuration> &Target) {
  command_report Report;
  Report.ReportJson["changes"] = nlohmann::json::array();
  Report.ReportJson["version_in_force"] = ActiveVersion.Version;
  for (const site_configuration &After : Target) {
    const site_configuration *Before =
        findSite(ActiveVersion.Sites, After.Site);
    reportSite(After.Site, !Before, Before ? *Before : site_configuration{},
               After, Report);
  }
  for (const site_configuration &Before : ActiveVersion.Sites)
    if (!findSite(Target, Before.Site)) {
      Report.add("Site " + Before.Site.str() + " would be removed.");
      Report.ReportJson["sites_left_out"].push_back(Before.Site.str());
    }
  std::string Base = "version " + std::to_string(ActiveVersion.Version);
  Report.Lines.insert(
      Report.Lines.begin(),
      ActiveVersion.Version == 0 ? "No version is in force; everything is new."
      : Report.Lines.empty()     ? "Nothing changes against " + Base + "."
                                 : "Against " + Base + ", which is in force:");
  return Report;
}

result<command_report> runDiff(command_context &Context) {
  auto Target = readTarget(Context);
  if (!Target)
    return Target.failure();
  const auto &[Head, Sites] = *Target;
  // Parts that both versions share are not read.
  config::part_map Known;
  for (const site_configuration &Site : Sites)
    for (auto &[Name, Part] : config::splitIntoParts(Site))
      Known.emplace(Site.Site.str() + "/" + Name, Part);
  auto ActiveVersion = readActiveVersion(Context.Store, Head.Head, Known);
  if (!ActiveVersion)
    return ActiveVersion.failure();
  return reportDifference(*ActiveVersion, Sites);
}

} // namespace gentianlug::operator_cli
