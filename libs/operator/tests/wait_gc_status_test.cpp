#include "fake_store.h"
#include "gentianlug/operator/accept.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

using namespace gentianlug;
using namespace gentianlug::operator_cli;
using namespace gentianlug::operator_cli::test;

/// Writes a zone status as the relay of the zone would.
static void setStatus(command_fixture &Bench, const std::string &Zone,
                      std::map<config_version, std::uint32_t> Nodes,
                      std::vector<store::config_refusal> Refusals = {}) {
  store::zone_status Status;
  Status.Zone = zone_name(Zone);
  Status.Site = site_name("east");
  Status.NodesByVersion = std::move(Nodes);
  Status.Refusals = std::move(Refusals);
  Bench.Objects.set(store::statusKey(Status.Zone), wire::encode(Status));
}

static void setRollout(command_fixture &Bench, rollout::rollout_phase Phase,
                       std::chrono::seconds TimeLeft) {
  rollout::rollout_state State;
  State.Id = "a@v2@1";
  State.Service = service_name("a");
  State.Version = version_name("v2");
  State.Phase = Phase;
  State.Reason = "errors on route r";
  State.FinishBy = Bench.Driver.wallNow() + TimeLeft;
  Bench.Objects.set(store::rolloutKey(State.Service), wire::encode(State));
}

TEST_GROUP(wait_command) { command_fixture Bench; };

// Guards against a wait that ends before the version is in force in every zone,
// so that a script continues too early.
TEST(wait_command, EndsWhenVersionIsInForceInEveryZone) {
  Bench.apply("beaudoin");
  setStatus(Bench, "qc-east-1", {{1, 3}});
  setStatus(Bench, "qc-east-2", {{0, 1}, {1, 2}});
  setStatus(Bench, "qc-east-3", {});
  auto Unfinished = Bench.run({"wait", "version", "--timeout-s", "20"});
  CHECK_EQUAL(TimedOut, Unfinished.Code);
  CHECK(Bench.hasText(Unfinished, "in force on 5 of 6 nodes"));
  Bench.Objects.OnNextWatch = [this] {
    setStatus(Bench, "qc-east-2", {{2, 3}});
  };
  auto Report = Bench.run({"wait", "version"});
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Bench.hasText(Report, "in force everywhere, on 6 nodes"));
}

// Guards against a report of "everywhere" while no node of a zone has reported,
// and against a wait for the machines of a zone that is out of service.
TEST(wait_command, WaitsForUnreportedZonesButNotForZonesOut) {
  Bench.apply("beaudoin");
  setStatus(Bench, "qc-east-1", {{1, 3}});
  setStatus(Bench, "qc-east-2", {{1, 2}});
  auto Unfinished = Bench.run({"wait", "version", "--timeout-s", "20"});
  CHECK_EQUAL(TimedOut, Unfinished.Code);
  CHECK(Bench.hasText(Unfinished, "no node of zone qc-east-3 has reported"));
  CHECK(
      Bench.hasText(Bench.run({"status"}), "qc-east-3: no node has reported"));
  Bench.run({"zone", "out", "qc-east-3"});
  setStatus(Bench, "qc-east-2", {{0, 2}});
  Bench.run({"zone", "out", "qc-east-2"});
  auto Report = Bench.run({"wait", "version"});
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Bench.hasText(Report, "in force everywhere, on 3 nodes"));
}

// Guards against continuing to wait for a version that a node has refused.
TEST(wait_command, RefusalEndsWaitWithReason) {
  Bench.apply("beaudoin");
  setStatus(Bench, "z1", {{1, 3}}, {{node_id("n1"), 2, "dangling route"}});
  auto Report = Bench.run({"wait", "version", "2"});
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.hasText(Report, "Node n1 refused version 2: dangling route"));
}

// Guards against an endless wait while the platform is down, and against giving
// up at a short outage.
TEST(wait_command, ToleratesOutagesUntilTimeout) {
  Bench.apply("beaudoin");
  for (const char *Zone : {"qc-east-1", "qc-east-2", "qc-east-3"})
    setStatus(Bench, Zone, {{1, 1}});
  Bench.Objects.NextFaults.assign(20, fault::Unavailable);
  CHECK_EQUAL(Success, Bench.run({"wait", "version", "1"}).Code);
  Bench.Objects.DefaultFault = fault::Unavailable;
  auto Report = Bench.run({"wait", "version", "1", "--timeout-s", "30"});
  CHECK_EQUAL(PlatformDown, Report.Code);
}

// Guards against continuing to wait for a rollout whose outcome is decided.
TEST(wait_command, EndsWhenRolloutCompletesRollsBackOrExpires) {
  setRollout(Bench, rollout::rollout_phase::Progressing,
             std::chrono::seconds(60));
  Bench.Objects.OnNextWatch = [this] {
    setRollout(Bench, rollout::rollout_phase::Completed,
               std::chrono::seconds(50));
  };
  CHECK_EQUAL(Success, Bench.run({"wait", "rollout", "a"}).Code);
  setRollout(Bench, rollout::rollout_phase::RolledBack,
             std::chrono::seconds(60));
  auto RolledBack = Bench.run({"wait", "rollout", "a"});
  CHECK_EQUAL(Refused, RolledBack.Code);
  CHECK(Bench.hasText(RolledBack, "taken back: errors on route r"));
  setRollout(Bench, rollout::rollout_phase::Progressing,
             std::chrono::seconds(60));
  auto Expired = Bench.run({"wait", "rollout", "a"});
  CHECK_EQUAL(Refused, Expired.Code);
  CHECK(Bench.hasText(Expired, "counts as taken back"));
}

TEST_GROUP(gc_command) {
  command_fixture Bench;

  std::size_t removed() {
    return Bench.run({"gc"}).ReportJson["removed"].get<std::size_t>();
  }
};

// Guards against removing objects that one of the last ten versions references,
// and against unreferenced objects that are never removed.
TEST(gc_command, RemovesUnreferencedObjectsAfterAnHour) {
  Bench.Objects.set(store::contentKey("00aa"), "left over");
  Bench.apply("beaudoin");
  Bench.apply("strunohost");
  CHECK_EQUAL(0U, removed());
  Bench.Driver.Clock.advance(std::chrono::minutes(61));
  CHECK_EQUAL(1U, removed());
  CHECK_EQUAL(Success, Bench.run({"apply", "--back-to", "1"}).Code);
  CHECK_EQUAL(Success, Bench.run({"diff", "--back-to", "2"}).Code);
}

// Guards against removing an object that a concurrent `apply` has found in
// place and references again.
TEST(gc_command, KeepsObjectsThatAreReferencedAgain) {
  Bench.apply("beaudoin");
  std::vector<store::object> Parts;
  for (const auto &[Key, Object] : Bench.Objects.Objects)
    if (Key.starts_with(store::ContentPrefix))
      Parts.push_back(Object);
  Bench.Objects.Objects.erase(store::ConfigHeadKey);
  removed();
  Bench.Driver.Clock.advance(std::chrono::minutes(61));
  // The apply runs after the collector has chosen the objects to remove.
  bool Applied = false;
  Bench.Objects.BeforeNextRemove = [&] {
    Applied = Bench.apply("beaudoin").Code == Success;
  };
  CHECK_EQUAL(0U, removed());
  CHECK(Applied);
  for (const store::object &Part : Parts)
    CHECK(Bench.Objects.revisionOf(Part.Key) != 0);
}

TEST_GROUP(status_command) { command_fixture Bench; };

// Guards against status output that omits a lagging zone or a refusal.
TEST(status_command, ListsLaggingZonesRefusalsAndRollouts) {
  CHECK(Bench.hasText(Bench.run({"status"}), "No version was accepted yet."));
  Bench.apply("beaudoin");
  setStatus(Bench, "z1", {{0, 1}, {1, 2}}, {{node_id("n1"), 1, "bad hash"}});
  setRollout(Bench, rollout::rollout_phase::Progressing,
             std::chrono::seconds(60));
  Bench.Objects.set("status/z9", "{");
  auto Report = Bench.run({"status", "--json"});
  CHECK(Bench.hasText(Report, "by marie: because of beaudoin."));
  CHECK(Bench.hasText(Report, "It is not yet in force everywhere."));
  CHECK(Bench.hasText(Report, "version 1 is in force on 2 of 3 nodes"));
  CHECK(Bench.hasText(Report, "Node n1 refused version 1: bad hash."));
  CHECK(Bench.hasText(Report, "it will be decided by"));
  CHECK(Bench.hasText(Report, "status/z9 on the platform cannot be read"));
  CHECK_FALSE(Report.ReportJson["everywhere"].get<bool>());
}

// Guards against status output that omits a rollout that has not started
// because no server of its new version has come up.
TEST(status_command, ListsRolloutsThatHaveNotStarted) {
  config::site_configuration Site;
  Site.Site = site_name("east");
  config::service Service;
  Service.Name = service_name("a");
  Service.Version = version_name("v1");
  Site.Services = {Service};
  Site.Rollouts = {{Service.Name, version_name("v2"),
                    Bench.Driver.wallNow() + std::chrono::minutes(5), 0.05}};
  acceptance_request Request{"marie", "new version", "w1", false};
  CHECK(bool(acceptConfiguration(Bench.Store, {}, {Site}, Request,
                                 Bench.Driver.wallNow())));
  auto Report = Bench.run({"status"});
  CHECK(Bench.hasText(Report, "Rollout of a to v2 is waiting"));
  CHECK_EQUAL(1U, Report.ReportJson["rollouts"].size());
}

// Guards against an unbounded history and against a wrong order.
TEST(status_command, HistoryListsLastTenVersionsNewestLast) {
  for (int Round = 0; Round < 6; ++Round) {
    Bench.apply("beaudoin");
    Bench.apply("strunohost");
  }
  auto Versions = Bench.run({"history"}).ReportJson["versions"];
  CHECK_EQUAL(10U, Versions.size());
  CHECK_EQUAL(3, Versions.front()["version"].get<int>());
  CHECK_EQUAL(12, Versions.back()["version"].get<int>());
}

TEST_GROUP(usage) {
  command_fixture Bench;

  static bool parses(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), "gentianlug");
    std::vector<char *> Argv(Arguments.size());
    for (std::size_t Index = 0; Index < Arguments.size(); ++Index)
      Argv[Index] = Arguments[Index].data();
    return bool(parseOptions(int(Argv.size()), Argv.data()));
  }
};

// Guards against arguments that crash the command or that cannot be stored as
// valid JSON.
TEST(usage, RejectsInvalidArguments) {
  CHECK_FALSE(parses({"apply", "--reason", "\xff"}));
  CHECK_FALSE(parses({"apply", "--author", std::string(101, 'a')}));
  CHECK_FALSE(parses({"apply", "--overlay", "file"}));
  CHECK_FALSE(parses({"apply", "--back-to", "-1"}));
  CHECK_FALSE(parses({"wait", "--timeout-s", "99999999999999999999"}));
  CHECK_FALSE(parses({"status", "--platfrom", "x"}));
  CHECK_FALSE(parses({"status", "--platform", "x"}));
  CHECK(parses({"zone", "out", "z", "--reason", "povode\xc5\x88"}));
  for (const std::vector<std::string> &Arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"aply"},
                                             {"apply"},
                                             {"zone"},
                                             {"wait", "version", "x"},
                                             {"rollout", "pause"},
                                             {"explain"}})
    CHECK_EQUAL(BadUsage, Bench.run(Arguments).Code);
}
