#include "gentianlug/config/compile.h"
#include "gentianlug/config/parts.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::config;

static const source_file Base{"base.json", R"({
  "services": [{"name": "commandes", "version": "v1"}],
  "routes": [{"name": "orders", "path": "/commandes",
              "service": "commandes"}]
})"};

static const source_file Overlay{"qc-east.json", R"({
  "availability_zones": [{"name": "qc-east-1", "region": "qc"}],
  "services": [{"name": "commandes", "limits": {"slots": 12}}]
})"};

TEST_GROUP(compile){
    result<site_configuration> compile(const source_file &Base,
                                       const source_file &Overlay){
        return compileSite(site_name("qc-east"), Base, Overlay, wall_time{});
}
}
;

TEST(compile, OverlayChangesOnlyListedFields) {
  auto Compiled = compile(Base, Overlay);
  CHECK(bool(Compiled));
  CHECK_EQUAL(12U, Compiled->Services.at(0).Limits.Slots);
  STRCMP_EQUAL("v1", Compiled->Services.at(0).Version.str().c_str());
}

// Guards against a proxy receiving a route to a service that does not exist.
TEST(compile, RejectsDanglingRoutes) {
  source_file Removed{"o.json",
                      R"({"services": [{"name": "commandes",
                                        "remove": true}]})"};
  auto Compiled = compile(Base, Removed);
  CHECK_FALSE(bool(Compiled));
  CHECK(Compiled.failure().message().find("routes.orders.service") !=
        std::string::npos);
}

TEST_GROUP(parts){};

// Guards against information loss when splitting and assembling.
TEST(parts, AssembleRestoresTheConfiguration) {
  auto Compiled = compileSite(site_name("qc-east"), Base, Overlay, wall_time{});
  part_map Parts = splitIntoParts(*Compiled);
  auto Assembled = assemble(Parts, rootHash(hashesOf(Parts)));
  CHECK(bool(Assembled));
  CHECK(*Compiled == *Assembled);
}

// Guards against applying a version only partially.
TEST(parts, AssembleRejectsMissingAndModifiedParts) {
  auto Compiled = compileSite(site_name("qc-east"), Base, Overlay, wall_time{});
  part_map Parts = splitIntoParts(*Compiled);
  std::string Root = rootHash(hashesOf(Parts));
  part_map Missing = Parts;
  Missing.erase(Missing.begin());
  CHECK_FALSE(bool(assemble(Missing, Root)));
  part_map Modified = Parts;
  Modified.begin()->second.Text += " ";
  CHECK_FALSE(bool(assemble(Modified, Root)));
}
