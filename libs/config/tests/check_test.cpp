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

TEST_GROUP(check_configuration) {
  site_configuration Site;

  /// Returns the reason of the fault at \p Path; empty if there is none.
  std::string reason(const std::string &Path) {
    for (const config_fault &Fault : checkConfiguration(Site))
      if (Fault.Path == Path)
        return Fault.Reason;
    return {};
  }

  bool hasFault(const std::string &Path) { return !reason(Path).empty(); }
};

// Guards against a proxy receiving a route to a service that does not exist.
TEST(check_configuration, ReportsUnknownServices) {
  Site.Services = {makeService("a", {"gone"})};
  Site.Routes = {makeRoute("r", "/r", "gone")};
  Site.Rollouts = {{service_name("gone"), version_name("v2"), {}, 0.05}};
  CHECK(hasFault("routes.r.service"));
  CHECK(hasFault("rollouts.gone.service"));
  CHECK(hasFault("services.a.calls"));
}

// Guards against duplicate entries of which only one takes effect.
TEST(check_configuration, ReportsDuplicateNamesAndPrefixes) {
  Site.Services = {makeService("a"), makeService("a")};
  Site.Routes = {makeRoute("r", "/r", "a"), makeRoute("s", "/r", "a")};
  Site.Zones = {{zone_name("z"), region_name("")}};
  CHECK(hasFault("services.a"));
  CHECK(hasFault("routes.s.path"));
  CHECK(hasFault("availability_zones.z.region"));
}

// Guards against limits that no call can satisfy.
TEST(check_configuration, ReportsImpossibleLimits) {
  Site.Services = {makeService("a")};
  Site.Services[0].Limits.Slots = 11;
  Site.Services[0].Limits.Connections = 10;
  Site.Routes = {makeRoute("r", "/r", "a")};
  Site.Routes[0].Deadline = std::chrono::milliseconds(2);
  CHECK(hasFault("services.a.limits.slots"));
  CHECK(hasFault("routes.r.deadline_ms"));
  Site.Routes[0].Deadline = std::chrono::milliseconds(3);
  CHECK_FALSE(hasFault("routes.r.deadline_ms"));
}

// Guards against a call chain that returns to a service waiting on the chain.
TEST(check_configuration, ReportsCallCycles) {
  Site.Services = {makeService("a", {"b"}), makeService("b", {"c"}),
                   makeService("c", {"a"})};
  STRCMP_EQUAL("the call to \"a\" closes a cycle",
               reason("services.c.calls").c_str());
  Site.Services[2].Calls.clear();
  CHECK(checkConfiguration(Site).empty());
  Site.Services[2].Calls = {service_name("c")};
  CHECK(hasFault("services.c.calls"));
}

// Guards against call chains longer than the retry limits are designed for.
TEST(check_configuration, LimitsCallChainsToElevenServices) {
  for (char Name = 'a'; Name <= 'k'; ++Name)
    Site.Services.push_back(makeService({Name}, {{char(Name + 1)}}));
  Site.Services.back().Calls.clear();
  CHECK_EQUAL(MaxCallDepth, Site.Services.size());
  CHECK(checkConfiguration(Site).empty());
  Site.Services.back().Calls = {service_name("l")};
  Site.Services.push_back(makeService("l"));
  CHECK(hasFault("services.a.calls"));
  CHECK_FALSE(hasFault("services.b.calls"));
}

// Guards against a rollout that is rolled back before it can be evaluated, and
// against an active rollout that blocks unrelated changes near its finish time.
TEST(check_configuration, RequiresMinimumTimeForNewRolloutsOnly) {
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

// Guards against parts that exceed the platform's value size, which would leave
// a version partially written.
TEST(part_sizes, SplitsLargeShardsAndAssemblesThem) {
  site_configuration Site;
  Site.Site = site_name("east");
  Site.Services = {makeService("a")};
  for (int Number = 0; Number < 4000; ++Number) {
    std::string Name = "r" + std::to_string(1000000 + Number);
    Site.Routes.push_back(
        makeRoute(Name, "/" + std::string(900, 'x') + Name, "a"));
  }
  part_map Parts = splitIntoParts(Site);
  CHECK(Parts.size() > 4);
  for (const auto &[Name, Part] : Parts)
    CHECK(Part.Text.size() <= MaxPartBytes);
  auto Assembled = assemble(Parts, rootHash(hashesOf(Parts)));
  CHECK(bool(Assembled));
  CHECK(Site == *Assembled);
}

// Guards against a site part that exceeds the limit, since it cannot be split.
TEST(part_sizes, ReportsTooManyCustomers) {
  site_configuration Site;
  for (int Number = 0; Number < 40000; ++Number)
    Site.Customers.push_back(
        {customer_name("customer-" + std::to_string(Number)), 1});
  auto Faults = checkPartSizes(Site);
  CHECK_EQUAL(1U, Faults.size());
  STRCMP_EQUAL("customers", Faults[0].Path.c_str());
}
