#include "lua_runtime.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <getopt.h>
#include <iostream>

using namespace gentianlug::bench;

static constexpr const char *Usage =
    "Usage: scenario-runner [--seed N] [--nodes N] [--keep] SCRIPT\n"
    "\n"
    "  --seed N   seed of the run (default 1)\n"
    "  --nodes N  number of nodes, for scripts that support it\n"
    "  --keep     keep the work folder with settings and logs\n";

static constexpr option LongOptions[] = {
    {"seed", required_argument, nullptr, 's'},
    {"nodes", required_argument, nullptr, 'n'},
    {"keep", no_argument, nullptr, 'k'},
    {nullptr, 0, nullptr, 0},
};

int main(int Argc, char **Argv) {
  run_options Options;
  bool Keep = false;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1;) {
    if (Option == 's')
      Options.Seed = std::strtoull(optarg, nullptr, 10);
    else if (Option == 'n')
      Options.Nodes = std::uint32_t(std::strtoul(optarg, nullptr, 10));
    else if (Option == 'k')
      Keep = true;
    else {
      std::cerr << Usage;
      return 2;
    }
  }
  if (optind + 1 != Argc) {
    std::cerr << Usage;
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Options.Script = Argv[optind];
  Options.SourceFolder = GENTIANLUG_SOURCE_DIR;
  Options.BinaryFolder = GENTIANLUG_BINARY_DIR;
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "gentianlug-XXXXXX").string();
  if (!mkdtemp(Pattern.data())) {
    std::cerr << "scenario-runner: cannot create the work folder\n";
    return 1;
  }
  Options.WorkFolder = Pattern;
  int Code = lua_runtime(Options).run();
  if (Keep || Code != 0)
    std::cerr << "scenario-runner: settings and logs are in " << Pattern
              << '\n';
  else
    std::filesystem::remove_all(Pattern);
  return Code;
}
