#include "gentianlug/operator/options.h"

#include "gentianlug/operator/operator_errc.h"

#include <charconv>
#include <cstdlib>
#include <getopt.h>
#include <nlohmann/json.hpp>

namespace gentianlug::operator_cli {

/// Longest time that a command may wait.
static constexpr std::chrono::hours MaxTimeout{24};

static constexpr option LongOptions[] = {
    {"platform", required_argument, nullptr, 'p'},
    {"base", required_argument, nullptr, 'b'},
    {"overlay", required_argument, nullptr, 'o'},
    {"drop-site", required_argument, nullptr, 'd'},
    {"author", required_argument, nullptr, 'a'},
    {"reason", required_argument, nullptr, 'r'},
    {"back-to", required_argument, nullptr, 'k'},
    {"after-version", required_argument, nullptr, 'n'},
    {"timeout-s", required_argument, nullptr, 't'},
    {"rewrite", no_argument, nullptr, 'w'},
    {"json", no_argument, nullptr, 'j'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || Stop != End || Number > INT64_MAX)
    return std::nullopt;
  return Number;
}

static error badArgument(const std::string &Reason) {
  return makeError(operator_errc::BadArguments, Reason);
}

static result<void> readOverlay(const std::string &Text, options &Options) {
  auto Equals = Text.find('=');
  if (Equals == std::string::npos || Equals == 0)
    return badArgument("--overlay takes SITE=FILE, not \"" + Text + "\"");
  site_name Site(Text.substr(0, Equals));
  for (const auto &[Known, File] : Options.Overlays)
    if (Known == Site)
      return badArgument("two overlays for the site " + Site.str());
  Options.Overlays.emplace_back(std::move(Site), Text.substr(Equals + 1));
  return {};
}

static result<void> readVersion(const char *Name,
                                std::optional<config_version> &Version) {
  Version = parseNumber(optarg);
  if (!Version || *Version == 0)
    return badArgument(std::string(Name) + " takes a version number, not \"" +
                       optarg + "\"");
  return {};
}

static result<void> readTimeout(options &Options) {
  auto Seconds = parseNumber(optarg);
  auto Max = std::uint64_t(std::chrono::seconds(MaxTimeout).count());
  if (!Seconds || *Seconds > Max)
    return badArgument("--timeout-s takes seconds from 0 to " +
                       std::to_string(Max));
  Options.Timeout = std::chrono::seconds(*Seconds);
  return {};
}

/// Reads text that is stored on the platform as JSON, which is UTF-8.
static result<void> readText(const char *Name, std::size_t MaxBytes,
                             std::string &Text) {
  Text = optarg;
  std::string Quoted = nlohmann::json(Text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::ignore);
  bool Valid = nlohmann::json::parse(Quoted) == nlohmann::json(Text);
  if (Text.empty() || Text.size() > MaxBytes || !Valid)
    return badArgument(std::string(Name) + " takes 1 to " +
                       std::to_string(MaxBytes) + " bytes of UTF-8 text");
  return {};
}

static result<void> readOption(int Option, options &Options) {
  switch (Option) {
  case 'p': {
    auto Parsed = parseAddress(optarg);
    if (!Parsed)
      return badArgument("--platform: " + Parsed.failure().message());
    Options.Platform = *Parsed;
    return {};
  }
  case 'b':
    Options.Base = optarg;
    return {};
  case 'o':
    return readOverlay(optarg, Options);
  case 'd':
    Options.DroppedSites.emplace_back(optarg);
    return {};
  case 'a':
    return readText("--author", MaxAuthorBytes, Options.Author);
  case 'r':
    return readText("--reason", MaxReasonBytes, Options.Reason);
  case 'k':
    return readVersion("--back-to", Options.BackTo);
  case 'n':
    return readVersion("--after-version", Options.AfterVersion);
  case 't':
    return readTimeout(Options);
  case 'w':
    Options.RewriteObjects = true;
    return {};
  case 'j':
    Options.Json = true;
    return {};
  case 'h':
    Options.ShowHelp = true;
    return {};
  case 'v':
    Options.ShowVersion = true;
    return {};
  default:
    return badArgument("unknown option, or an option without its value");
  }
}

/// Takes the platform's address from the environment, so that operators need
/// not repeat it; --platform takes precedence.
static result<void> readEnvironment(options &Options) {
  const char *Platform = std::getenv("GENTIANLUG_PLATFORM");
  if (!Platform || *Platform == '\0')
    return {};
  auto Parsed = parseAddress(Platform);
  if (!Parsed)
    return badArgument("GENTIANLUG_PLATFORM: " + Parsed.failure().message());
  Options.Platform = *Parsed;
  return {};
}

result<options> parseOptions(int Argc, char **Argv) {
  options Options;
  if (auto Read = readEnvironment(Options); !Read)
    return Read.failure();
  opterr = 0;
  // Zero also resets the scanner of a former call, in the C library used here.
  optind = 0;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1;)
    if (auto Read = readOption(Option, Options); !Read)
      return Read.failure();
  for (int Index = optind; Index < Argc; ++Index)
    Options.Arguments.emplace_back(Argv[Index]);
  return Options;
}

} // namespace gentianlug::operator_cli
