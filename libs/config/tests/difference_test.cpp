#include "gentianlug/config/compile.h"
#include "gentianlug/config/difference.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::config;

static site_configuration compileText(const std::string &Overlay) {
  source_file Base{"base.json", R"({
    "services": [{"name": "a", "version": "v1"},
                 {"name": "b", "version": "v1"}],
    "routes": [{"name": "r", "path": "/a", "service": "a"}]})"};
  return *compileSite(site_name("east"), Base, {"east.json", Overlay},
                      wall_time{});
}

TEST_GROUP(difference){};

TEST(difference, EqualConfigurationsDoNotDiffer) {
  CHECK(compareConfigurations(compileText("{}"), compileText("{}")).empty());
}

// Guards against changes that are missing from the list an operator reviews
// before acceptance.
TEST(difference, ListsAddedChangedAndRemovedEntries) {
  auto Changes = compareConfigurations(
      compileText("{}"), compileText(R"({"zone_round_trip_us": 1500,
        "availability_zones": [{"name": "z", "region": "east"}],
        "services": [{"name": "a", "limits": {"slots": 12}},
                     {"name": "b", "remove": true}],
        "rollouts": [{"service": "a", "version": "v2",
                      "finish_by": "2030-01-01T00:00:00Z"}]})"));
  CHECK_EQUAL(5U, Changes.size());
  STRCMP_EQUAL("availability_zones", Changes[0].Section.c_str());
  CHECK(change_kind::Added == Changes[0].Kind);
  STRCMP_EQUAL("rollouts", Changes[1].Section.c_str());
  CHECK(change_kind::Changed == Changes[2].Kind);
  CHECK((field_change{"limits.slots", "10", "12"}) == Changes[2].Fields.at(0));
  CHECK_EQUAL(1U, Changes[2].Fields.size());
  CHECK(change_kind::Removed == Changes[3].Kind);
  STRCMP_EQUAL("b", Changes[3].Name.c_str());
  STRCMP_EQUAL("site", Changes[4].Section.c_str());
}
