#include "gentianlug/mesh/route_table.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

static route makeRoute(const std::string &Name, const std::string &Host,
                       const std::string &Prefix) {
  route Route;
  Route.Name = route_name(Name);
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Services = {{service_name("s-" + Name), 1}};
  return Route;
}

TEST_GROUP(RouteTable){route_table table(std::vector<route> Routes){
    auto Configuration = std::make_shared<mesh_configuration>();
Configuration->Routes = std::move(Routes);
return route_table(Configuration);
}
static std::string nameOf(const route *Route) {
  return Route ? Route->Name.str() : "none";
}
}
;

TEST(RouteTable, LongestPrefixOfTheHostWins) {
  auto Table =
      table({makeRoute("short", "h", "/a/"), makeRoute("long", "h", "/a/b/"),
             makeRoute("other", "g", "/a/b/c/")});
  STRCMP_EQUAL("long", nameOf(Table.find("h", "/a/b/c/d")).c_str());
  STRCMP_EQUAL("short", nameOf(Table.find("h", "/a/x?q=/a/b/")).c_str());
  STRCMP_EQUAL("none", nameOf(Table.find("h", "/b/")).c_str());
  STRCMP_EQUAL("none", nameOf(Table.find("x", "/a/b/c/")).c_str());
}

// Guards against a prefix that ends in the middle of a path segment.
TEST(RouteTable, PrefixMatchesWholeSegments) {
  auto Table = table({makeRoute("a", "h", "/a/")});
  STRCMP_EQUAL("none", nameOf(Table.find("h", "/ab/c")).c_str());
  STRCMP_EQUAL("none", nameOf(Table.find("h", "/a")).c_str());
  STRCMP_EQUAL("a", nameOf(Table.find("h", "/a/")).c_str());
  STRCMP_EQUAL("a", nameOf(Table.find("h:80", "/a/b")).c_str());
}

TEST(RouteTable, SelectsServicesByWeight) {
  route Route = makeRoute("r", "h", "/");
  Route.Services = {
      {service_name("a"), 90}, {service_name("b"), 10}, {service_name("c"), 0}};
  generator Gen(1);
  int FirstCount = 0;
  constexpr int Draws = 10000;
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const service_name *Service = route_table::selectService(Route, Gen);
    CHECK(Service && Service->str() != "c");
    FirstCount += Service->str() == "a" ? 1 : 0;
  }
  DOUBLES_EQUAL(0.9, double(FirstCount) / Draws, 0.02);
  Route.Services = {{service_name("c"), 0}};
  CHECK(route_table::selectService(Route, Gen) == nullptr);
}
