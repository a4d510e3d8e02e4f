#include "gentianlug/config/assembler.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/hash.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::config;

TEST_GROUP(assembler) {
  assembler Assembler;

  site_configuration configuration(unsigned Services) {
    site_configuration Configuration;
    Configuration.Site = site_name("qc-east");
    Configuration.Zones = {{zone_name("z1"), region_name("r1")}};
    for (unsigned Index = 0; Index < Services; ++Index) {
      service Service;
      Service.Name = service_name("s" + std::to_string(100 + Index));
      Service.Version = version_name("v1");
      Configuration.Services.push_back(Service);
      route Route;
      Route.Name = route_name("r" + std::to_string(100 + Index));
      Route.PathPrefix = "/s" + std::to_string(100 + Index);
      Route.Service = Service.Name;
      Configuration.Routes.push_back(Route);
    }
    return Configuration;
  }

  static std::string rootHashOf(const part_map &Parts) {
    return rootHash(hashesOf(Parts));
  }
};

// Guards against cached parts of an older version remaining in a newer one.
TEST(assembler, IncrementalAssemblyMatchesFullAssembly) {
  site_configuration Configuration = configuration(200);
  for (unsigned Change = 0; Change < 20; ++Change) {
    Configuration.Services[Change * 7].Limits.QueueLength = 30 + Change;
    if (Change % 5 == 4) {
      Configuration.Services.pop_back();
      Configuration.Routes.pop_back();
    }
    part_map Parts = splitIntoParts(Configuration);
    auto Incremental = Assembler.assemble(Parts, rootHashOf(Parts));
    auto Full = assemble(Parts, rootHashOf(Parts));
    CHECK(bool(Incremental));
    CHECK(*Incremental == *Full);
  }
}

// Guards against accepting an invalid version because most of its parts are
// cached, and against rejecting a valid version afterwards.
TEST(assembler, RejectsWhatFullAssemblyRejects) {
  site_configuration Valid = configuration(50);
  part_map Parts = splitIntoParts(Valid);
  CHECK(bool(Assembler.assemble(Parts, rootHashOf(Parts))));
  site_configuration Dangling = Valid;
  Dangling.Routes[3].Service = service_name("nobody");
  part_map DanglingParts = splitIntoParts(Dangling);
  CHECK_FALSE(
      bool(Assembler.assemble(DanglingParts, rootHashOf(DanglingParts))));
  CHECK_FALSE(bool(assemble(DanglingParts, rootHashOf(DanglingParts))));
  part_map Truncated = Parts;
  Truncated.begin()->second.Text.pop_back();
  Truncated.begin()->second.Hash = contentHash(Truncated.begin()->second.Text);
  CHECK_FALSE(bool(Assembler.assemble(Truncated, rootHashOf(Truncated))));
  CHECK_FALSE(bool(Assembler.assemble(Parts, "0")));
  CHECK(bool(Assembler.assemble(Parts, rootHashOf(Parts))));
}
