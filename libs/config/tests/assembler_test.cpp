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

  static std::string rootOf(const part_map &Parts) {
    return rootHash(hashesOf(Parts));
  }
};

// Guards against a part of an older version that stays in a newer one.
TEST(assembler, SuccessiveVersionsEqualAFreshAssembly) {
  site_configuration Configuration = configuration(200);
  for (unsigned Change = 0; Change < 20; ++Change) {
    Configuration.Services[Change * 7].Limits.QueueLength = 30 + Change;
    if (Change % 5 == 4) {
      Configuration.Services.pop_back();
      Configuration.Routes.pop_back();
    }
    part_map Parts = cutIntoParts(Configuration);
    auto Successive = Assembler.assemble(Parts, rootOf(Parts));
    auto Fresh = assemble(Parts, rootOf(Parts));
    CHECK(bool(Successive));
    CHECK(*Successive == *Fresh);
  }
}

// Guards against a bad version that is taken because most of it was read
// before, and against a good one that is refused after it.
TEST(assembler, RefusesWhatAFreshAssemblyRefuses) {
  site_configuration Good = configuration(50);
  part_map Parts = cutIntoParts(Good);
  CHECK(bool(Assembler.assemble(Parts, rootOf(Parts))));
  site_configuration Dangling = Good;
  Dangling.Routes[3].Service = service_name("nobody");
  part_map Bad = cutIntoParts(Dangling);
  CHECK_FALSE(bool(Assembler.assemble(Bad, rootOf(Bad))));
  CHECK_FALSE(bool(assemble(Bad, rootOf(Bad))));
  part_map Cut = Parts;
  Cut.begin()->second.Text.pop_back();
  Cut.begin()->second.Hash = contentHash(Cut.begin()->second.Text);
  CHECK_FALSE(bool(Assembler.assemble(Cut, rootOf(Cut))));
  CHECK_FALSE(bool(Assembler.assemble(Parts, "0")));
  CHECK(bool(Assembler.assemble(Parts, rootOf(Parts))));
}
