#include "gentianlug/node/node.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/node_settings.h"

#include <getopt.h>
#include <iostream>

using namespace gentianlug;

namespace {

enum exit_code : int { Success = 0, StartUpFailed = 1, BadUsage = 2 };

/// Parsed command line options.
struct options {
  std::string SettingsPath;
  bool CheckOnly = false;
};

} // namespace

static constexpr const char *Usage =
    "Usage: gentianlug-node --settings FILE [--check]\n"
    "\n"
    "  --settings FILE  settings of the node, JSON with comments\n"
    "  --check          validate the settings and exit\n"
    "  --help           print this help and exit\n"
    "  --version        print the version and exit\n"
    "\n"
    "Exit codes: 0 graceful shutdown, 1 start-up failed, 2 invalid usage or "
    "settings.\n";

static constexpr option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"check", no_argument, nullptr, 'c'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

static int run(const options &Options) {
  auto Text = settings::readFile(Options.SettingsPath);
  auto Settings = Text
                      ? settings::parseNodeSettings(*Text, Options.SettingsPath)
                      : result<settings::node_settings>(Text.failure());
  if (!Settings) {
    observe::logEvent(observe::event::SettingsRefused,
                      Settings.failure().message());
    return BadUsage;
  }
  if (Options.CheckOnly) {
    std::cout << Options.SettingsPath << ": settings are valid\n";
    return Success;
  }
  return node::runNode(*Settings) ? Success : StartUpFailed;
}

int main(int Argc, char **Argv) {
  observe::startLogging(Argv[0]);
  options Options;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1;) {
    switch (Option) {
    case 's':
      Options.SettingsPath = optarg;
      break;
    case 'c':
      Options.CheckOnly = true;
      break;
    case 'h':
      std::cout << Usage;
      return Success;
    case 'v':
      std::cout << "gentianlug-node " GENTIANLUG_VERSION "\n";
      return Success;
    default:
      std::cerr << Usage;
      return BadUsage;
    }
  }
  if (Options.SettingsPath.empty()) {
    std::cerr << "gentianlug-node: --settings is required\n\n" << Usage;
    return BadUsage;
  }
  return run(Options);
}
