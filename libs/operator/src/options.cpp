#include "gentianlug/operator/options.h"

#include "gentianlug/operator/operator_errc.h"

#include <charconv>
#include <cstdlib>
#include <getopt.h>
#include <nlohmann/json.hpp>

namespace gentianlug::operator_cli {

/// Upper limit of `--timeout-s`.
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
  auto [ParseEnd, ParseError] = std::from_chars(Text.data(), End, Number);
  if (ParseError != std::errc() || ParseEnd != End || Number > INT64_MAX)
    return std::nullopt;
  return Number;
}

static error badArgument(const std::string &Detail) {
  return makeError(operator_errc::BadArguments, Detail);
}

static result<void> parseOverlay(const std::string &Text, options &Options) {
  auto Separator = Text.find('=');
  if (Separator == std::string::npos || Separator == 0)
    return badArgument("--overlay takes SITE=FILE, not \"" + Text + "\"");
  site_name Site(Text.substr(0, Separator));
  for (const auto &[OtherSite, File] : Options.Overlays)
    if (OtherSite == Site)
      return badArgument("more than one overlay for site " + Site.str());
  Options.Overlays.emplace_back(std::move(Site), Text.substr(Separator + 1));
  return {};
}

static result<void> parseVersion(const char *Name,
                                 std::optional<config_version> &Version) {
  Version = parseNumber(optarg);
  if (!Version || *Version == 0)
    return badArgument(std::string(Name) + " takes a version number, not \"" +
                       optarg + "\"");
  return {};
}

static result<void> parseTimeout(options &Options) {
  auto Seconds = parseNumber(optarg);
  auto Max = std::uint64_t(std::chrono::seconds(MaxTimeout).count());
  if (!Seconds || *Seconds > Max)
    return badArgument("--timeout-s takes a number of seconds from 0 to " +
                       std::to_string(Max));
  Options.Timeout = std::chrono::seconds(*Seconds);
  return {};
}

/// Parses text that is stored on the platform as JSON and so must be valid
/// UTF-8.
static result<void> parseText(const char *Name, std::size_t MaxBytes,
                              std::string &Text) {
  Text = optarg;
  std::string Encoded = nlohmann::json(Text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::ignore);
  bool Valid = nlohmann::json::parse(Encoded) == nlohmann::json(Text);
  if (Text.empty() || Text.size() > MaxBytes || !Valid)
    return badArgument(std::string(Name) + " takes 1 to " +
                       std::to_string(MaxBytes) + " bytes of UTF-8 text");
  return {};
}

static result<void> parseOption(int Option, options &Options) {
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
    return parseOverlay(optarg, Options);
  case 'd':
    Options.DroppedSites.emplace_back(optarg);
    return {};
  case 'a':
    return parseText("--author", MaxAuthorBytes, Options.Author);
  case 'r':
    return parseText("--reason", MaxReasonBytes, Options.Reason);
  case 'k':
    return parseVersion("--back-to", Options.BackTo);
  case 'n':
    return parseVersion("--after-version", Options.AfterVersion);
  case 't':
    return parseTimeout(Options);
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
    return badArgument("unknown option, or missing value of an option");
  }
}

/// Sets the platform address from the environment; `--platform` overrides it.
static result<void> applyEnvironment(options &Options) {
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
  if (auto Applied = applyEnvironment(Options); !Applied)
    return Applied.failure();
  opterr = 0;
  // With the C library in use, zero instead of one also resets the internal
  // state that an earlier call of getopt_long has left.
  optind = 0;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1;)
    if (auto Applied = parseOption(Option, Options); !Applied)
      return Applied.failure();
  for (int Index = optind; Index < Argc; ++Index)
    Options.Arguments.emplace_back(Argv[Index]);
  return Options;
}

} // namespace gentianlug::operator_cli
