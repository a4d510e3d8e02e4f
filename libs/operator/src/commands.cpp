#include "gentianlug/operator/commands.h"

#include "gentianlug/config/compile.h"
#include "gentianlug/core/random.h"
#include "gentianlug/operator/accept.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/platform/keys.h"
#include "gentianlug/settings/json_file.h"
#include "gentianlug/wire/platform_values.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace gentianlug::operator_cli {

namespace {

/// Options of all commands.
struct options {
  address Platform;
  std::string Base;
  std::vector<std::pair<site_name, std::string>> Overlays;
  std::string Author = "unknown";
  std::string Reason = "none given";
  std::vector<std::string> Words;
};

} // namespace

static constexpr const char *Usage =
    "Usage: gentianlug --platform HOST:PORT COMMAND [OPTION...]\n"
    "\n"
    "Commands:\n"
    "  apply    --base FILE --overlay SITE=FILE... --author NAME --reason "
    "TEXT\n"
    "  status\n"
    "\n"
    "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 platform down.\n";

static int fail(const error &Failure) {
  std::cerr << "gentianlug: " << Failure.message() << '\n';
  if (Failure.Code == make_error_code(operator_errc::PlatformDown))
    return PlatformDown;
  return Refused;
}

static int badUsage(const std::string &Reason) {
  std::cerr << "gentianlug: " << Reason << "\n\n" << Usage;
  return BadUsage;
}

static result<config::source_file> readSource(const std::string &Path) {
  auto Text = settings::readFile(Path);
  if (!Text)
    return Text.failure();
  return config::source_file{Path, std::move(*Text)};
}

static int runApply(const options &Options) {
  if (Options.Base.empty() || Options.Overlays.empty())
    return badUsage("apply needs --base and at least one --overlay");
  auto Base = readSource(Options.Base);
  if (!Base)
    return fail(Base.failure());
  system_clock Clock;
  acceptance_request Request;
  for (const auto &[Site, Path] : Options.Overlays) {
    auto Overlay = readSource(Path);
    if (!Overlay)
      return fail(Overlay.failure());
    auto Compiled = config::compileSite(Site, *Base, *Overlay, Clock.wallNow());
    if (!Compiled)
      return fail(Compiled.failure());
    Request.Sites.push_back(std::move(*Compiled));
  }
  generator Gen{std::random_device{}()};
  Request.Author = Options.Author;
  Request.Reason = Options.Reason;
  Request.WriteId = drawHexId(Gen);
  sync_store Store(Options.Platform);
  auto Accepted = acceptConfiguration(Store, Request, Clock.wallNow());
  if (!Accepted)
    return fail(Accepted.failure());
  std::cout << "Version " << Accepted->Version << " is accepted.\n";
  return Success;
}

static void printZone(const platform::zone_status &Status,
                      config_version Accepted) {
  std::uint32_t Current = 0;
  std::uint32_t All = 0;
  for (const auto &[Version, Nodes] : Status.NodesByVersion) {
    All += Nodes;
    if (Version == Accepted)
      Current += Nodes;
  }
  std::cout << "Zone " << Status.Zone.str() << ": version " << Accepted
            << " is in force on " << Current << " of " << All << " nodes.\n";
  for (const platform::config_refusal &Refusal : Status.Refusals)
    std::cout << "  Node " << Refusal.Node.str() << " refused version "
              << Refusal.Version << ": " << Refusal.Reason << '\n';
}

static int runStatus(const options &Options) {
  sync_store Store(Options.Platform);
  auto Head = Store.get(platform::ConfigHeadKey);
  if (!Head)
    return fail(
        makeError(operator_errc::PlatformDown, Head.failure().message()));
  auto Decoded = wire::decodeConfigHead(Head->Value);
  if (!Decoded)
    return fail(Decoded.failure());
  std::cout << "Version " << Decoded->Version << " is accepted, by "
            << Decoded->Author << ": " << Decoded->Reason << ".\n";
  auto Zones = Store.list(platform::StatusPrefix);
  if (!Zones)
    return fail(Zones.failure());
  for (const platform::object &Object : Zones->Objects)
    if (auto Status = wire::decodeZoneStatus(Object.Value))
      printZone(*Status, Decoded->Version);
  return Success;
}

static constexpr option LongOptions[] = {
    {"platform", required_argument, nullptr, 'p'},
    {"base", required_argument, nullptr, 'b'},
    {"overlay", required_argument, nullptr, 'o'},
    {"author", required_argument, nullptr, 'a'},
    {"reason", required_argument, nullptr, 'r'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

static result<void> readOverlay(const std::string &Text, options &Options) {
  auto Equals = Text.find('=');
  if (Equals == std::string::npos || Equals == 0)
    return makeError(operator_errc::BadArguments,
                     "--overlay takes SITE=FILE, not \"" + Text + "\"");
  Options.Overlays.emplace_back(site_name(Text.substr(0, Equals)),
                                Text.substr(Equals + 1));
  return {};
}

static result<void> readOption(int Option, options &Options) {
  switch (Option) {
  case 'p': {
    auto Parsed = parseAddress(optarg);
    if (!Parsed)
      return makeError(operator_errc::BadArguments, Parsed.failure().message());
    Options.Platform = *Parsed;
    return {};
  }
  case 'b':
    Options.Base = optarg;
    return {};
  case 'o':
    return readOverlay(optarg, Options);
  case 'a':
    Options.Author = optarg;
    return {};
  case 'r':
    Options.Reason = optarg;
    return {};
  default:
    return makeError(operator_errc::BadArguments, "unknown option");
  }
}

int runCommandLine(int Argc, char **Argv) {
  options Options;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1;) {
    if (Option == 'h') {
      std::cout << Usage;
      return Success;
    }
    if (Option == 'v') {
      std::cout << "gentianlug " GENTIANLUG_VERSION "\n";
      return Success;
    }
    if (auto Read = readOption(Option, Options); !Read)
      return badUsage(Read.failure().message());
  }
  for (int Index = optind; Index < Argc; ++Index)
    Options.Words.emplace_back(Argv[Index]);
  if (Options.Words.empty())
    return badUsage("no command given");
  if (Options.Platform.Port == 0)
    return badUsage("--platform is missing");
  if (Options.Words[0] == "apply")
    return runApply(Options);
  if (Options.Words[0] == "status")
    return runStatus(Options);
  return badUsage("unknown command \"" + Options.Words[0] + "\"");
}

} // namespace gentianlug::operator_cli
