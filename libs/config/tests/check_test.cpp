#include "gentianlug/config/check.h"
#include "gentianlug/config/parts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::config;
using std::chrono::seconds;

static service makeService(const std::string &Name,
                           std::vector<std::string> Calls = {}) {
  service Service;
  Service.Name = service_name(Name);
  Service.Version = version_name("v1");
  for (std::string &Callee : Calls)
    Service.Calls.emplace_back(std::move(Callee));
  return Service;
}

static route makeRoute(const std::string &Name, const std::string &Path,
                       const std::string &Service) {
  route Route;
  Route.Name = route_name(Name);
  Route.PathPrefix = Path;
  Route.Service = service_name(Service);
  return Route;
}

TEST_GROUP(check_whole) {
  site_configuration Site;

  /// Returns the reason given for \p Path; empty when there is none.
  std::string reason(const std::string &Path) {
    for (const config_fault &Fault : checkWhole(Site))
      if (Fault.Path == Path)
        return Fault.Reason;
    return {};
  }

  bool faulty(const std::string &Path) { return !reason(Path).empty(); }
};

// Guards against a proxy that gets a route without its service.
TEST(check_whole, DanglingRoutesRolloutsAndCalls) {
  Site.Services = {makeService("a", {"gone"})};
  Site.Routes = {makeRoute("r", "/r", "gone")};
  Site.Rollouts = {{service_name("gone"), version_name("v2"), {}, 0.05}};
  CHECK(faulty("routes.r.service"));
  CHECK(faulty("rollouts.gone.service"));
  CHECK(faulty("services.a.calls"));
}

// Guards against one of two equal entries that wins by accident.
TEST(check_whole, DuplicateNamesAndPrefixes) {
  Site.Services = {makeService("a"), makeService("a")};
  Site.Routes = {makeRoute("r", "/r", "a"), makeRoute("s", "/r", "a")};
  Site.Zones = {{zone_name("z"), region_name("")}};
  CHECK(faulty("services.a"));
  CHECK(faulty("routes.s.path"));
  CHECK(faulty("availability_zones.z.region"));
}

// Guards against limits that no call can be served within.
TEST(check_whole, ImpossibleLimits) {
  Site.Services = {makeService("a")};
  Site.Services[0].Limits.Slots = 11;
  Site.Services[0].Limits.Connections = 10;
  Site.Routes = {makeRoute("r", "/r", "a")};
  Site.Routes[0].Deadline = std::chrono::milliseconds(2);
  CHECK(faulty("services.a.limits.slots"));
  CHECK(faulty("routes.r.deadline_ms"));
  Site.Routes[0].Deadline = std::chrono::milliseconds(3);
  CHECK_FALSE(faulty("routes.r.deadline_ms"));
}

// Guards against a call that comes back to a service that waits for it.
TEST(check_whole, CyclesOfCalls) {
  Site.Services = {makeService("a", {"b"}), makeService("b", {"c"}),
                   makeService("c", {"a"})};
  STRCMP_EQUAL("the call to \"a\" closes a cycle",
               reason("services.c.calls").c_str());
  Site.Services[2].Calls.clear();
  CHECK(checkWhole(Site).empty());
  Site.Services[2].Calls = {service_name("c")};
  CHECK(faulty("services.c.calls"));
}

// Guards against a chain that is longer than the retry rules are made for.
TEST(check_whole, ChainsOfElevenServicesAndNoMore) {
  for (char Name = 'a'; Name <= 'k'; ++Name)
    Site.Services.push_back(makeService({Name}, {{char(Name + 1)}}));
  Site.Services.back().Calls.clear();
  CHECK_EQUAL(MaxCallDepth, Site.Services.size());
  CHECK(checkWhole(Site).empty());
  Site.Services.back().Calls = {service_name("l")};
  Site.Services.push_back(makeService("l"));
  CHECK(faulty("services.a.calls"));
  CHECK_FALSE(faulty("services.b.calls"));
}

// Guards against a rollout that is taken back before it can be judged, and
// against a running one that blocks unrelated changes near its end.
TEST(check_whole, RolloutsNeedTimeUnlessTheyAreInForce) {
  wall_time Now{seconds(1000)};
  rollout Rollout{service_name("a"), version_name("v2"), Now + seconds(29),
                  0.05};
  Site.Rollouts = {Rollout};
  CHECK_EQUAL(1U, checkFinishTimes(Site, Now, {}).size());
  CHECK(checkFinishTimes(Site, Now, {Rollout.id()}).empty());
  Site.Rollouts[0].FinishBy = Now + seconds(30);
  CHECK(checkFinishTimes(Site, Now, {}).empty());
  Site.Rollouts[0].FinishBy = Now;
  CHECK_EQUAL(1U, checkFinishTimes(Site, Now, {}).size());
}

TEST_GROUP(part_sizes){};

// Guards against a version that the platform refuses in the middle.
TEST(part_sizes, LargeShardsAreCutAndRestored) {
  site_configuration Site;
  Site.Site = site_name("east");
  Site.Services = {makeService("a")};
  for (int Number = 0; Number < 4000; ++Number) {
    std::string Name = "r" + std::to_string(1000000 + Number);
    Site.Routes.push_back(
        makeRoute(Name, "/" + std::string(900, 'x') + Name, "a"));
  }
  part_map Parts = cutIntoParts(Site);
  CHECK(Parts.size() > 4);
  for (const auto &[Name, Part] : Parts)
    CHECK(Part.Text.size() <= MaxPartBytes);
  auto Assembled = assemble(Parts, rootHash(hashesOf(Parts)));
  CHECK(bool(Assembled));
  CHECK(Site == *Assembled);
}

// Guards against an object that no cut makes small enough.
TEST(part_sizes, TooManyCustomersAreRefused) {
  site_configuration Site;
  for (int Number = 0; Number < 40000; ++Number)
    Site.Customers.push_back(
        {customer_name("customer-" + std::to_string(Number)), 1});
  auto Faults = checkSizes(Site);
  CHECK_EQUAL(1U, Faults.size());
  STRCMP_EQUAL("customers", Faults[0].Path.c_str());
}
