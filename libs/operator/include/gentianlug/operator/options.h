#ifndef GENTIANLUG_OPERATOR_OPTIONS_H
#define GENTIANLUG_OPERATOR_OPTIONS_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianlug::operator_cli {

// Size limits of author and reason. Both are part of the configuration head,
// which is sent to every relay.
inline constexpr std::size_t MaxAuthorBytes = 100;
inline constexpr std::size_t MaxReasonBytes = 500;

/// Parsed command line. Each command uses only some of the options.
struct options {
  address Platform;
  std::string Base;
  std::vector<std::pair<site_name, std::string>> Overlays;
  std::vector<site_name> DroppedSites;
  std::string Author = "unknown";
  std::string Reason = "none given";
  std::optional<config_version> BackTo;
  std::optional<config_version> AfterVersion;
  std::optional<std::chrono::seconds> Timeout;
  bool RewriteObjects = false;
  bool Json = false;
  bool ShowHelp = false;
  bool ShowVersion = false;
  /// The command and its positional arguments.
  std::vector<std::string> Arguments;
};

/// Parses the command line and the environment variable `GENTIANLUG_PLATFORM`.
/// Errors: `operator_errc::BadArguments`.
result<options> parseOptions(int Argc, char **Argv);

/// Parses a non-negative decimal integer of at most `INT64_MAX`.
std::optional<std::uint64_t> parseNumber(const std::string &Text);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_OPTIONS_H
