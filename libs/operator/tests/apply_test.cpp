#include "fake_store.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/store/keys.h"

#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace gentianlug;
using namespace gentianlug::operator_cli;
using namespace gentianlug::operator_cli::test;

TEST_GROUP(apply) {
  command_bench Bench;

  config_version version() { return readHead(Bench.Store)->Head.Version; }
};

// Guards against a version that is accepted again when nothing has changed.
TEST(apply, TheSameContentIsAcceptedOnce) {
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);
  unsigned Puts = Bench.Objects.Puts;
  auto Again = Bench.apply("beaudoin");
  CHECK_EQUAL(Success, Again.Code);
  CHECK(Bench.says(Again, "in force already"));
  CHECK_FALSE(Again.ReportJson["accepted"].get<bool>());
  CHECK_EQUAL(1U, version());
  CHECK_EQUAL(Puts, Bench.Objects.Puts);
}

// Guards against two operators who both believe that their change is in force.
TEST(apply, TheSlowerOperatorIsToldWhoWon) {
  Bench.apply("beaudoin");
  // The other operator is faster while ours writes its first part.
  Bench.Objects.BeforeNextPut = [this] { Bench.apply("strunohost", "paul"); };
  auto Lost = Bench.run(command_bench::withFiles(
      "strunohost", {"apply", "--author", "marie", "--reason", "x"}));
  CHECK_EQUAL(Refused, Lost.Code);
  CHECK(Bench.says(Lost, "paul was faster with version 2 (because of "
                         "strunohost)"));
  CHECK_EQUAL(2U, version());
}

// Guards against a lost answer that makes a version be accepted twice or be
// reported as refused, also when others have moved the head on since.
TEST(apply, LostAnswersAreRecognised) {
  Bench.Objects.Always = fault::LostAnswer;
  // Every content write is repeated up to its bound; the head is read again.
  auto Parts = Bench.apply("beaudoin");
  CHECK_EQUAL(PlatformDown, Parts.Code);
  CHECK_EQUAL(0U, version());
  Bench.Objects.Always = fault::None;
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);

  auto Back = [this] {
    return Bench.run({"apply", "--back-to", "1", "--author", "marie"});
  };
  Bench.apply("strunohost");
  // Head, manifest, then the write of the head.
  Bench.Objects.Faults = {fault::None, fault::None, fault::LostAnswer};
  auto Report = Back();
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Bench.says(Report, "Version 3 is accepted."));
  CHECK_EQUAL(3U, version());
}

// Guards against an acceptance that counts on a platform that is down.
TEST(apply, OutageIsToldAfterBoundedRetries) {
  Bench.Objects.Always = fault::Down;
  steady_time Before = Bench.Driver.steadyNow();
  auto Report = Bench.apply("beaudoin");
  CHECK_EQUAL(PlatformDown, Report.Code);
  CHECK(Bench.says(Report, "everything in force stays in force"));
  CHECK(Bench.Driver.steadyNow() - Before < std::chrono::seconds(10));
}

// Guards against a rate limit of a second that fails an apply.
TEST(apply, RateLimitsAreRiddenOut) {
  Bench.Objects.Faults.assign(4, fault::RateLimited);
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);
  CHECK_EQUAL(1U, version());
}

// Guards against going back by a version that does not grow.
TEST(apply, GoingBackIsANewHigherVersionWithOldContent) {
  Bench.apply("beaudoin");
  Bench.apply("strunohost");
  auto Report = Bench.run({"apply", "--back-to", "1", "--author", "marie"});
  CHECK_EQUAL(Success, Report.Code);
  auto Head = readHead(Bench.Store)->Head;
  CHECK_EQUAL(3U, Head.Version);
  CHECK(store::findVersion(Head, 1)->ManifestHash == Head.ManifestHash);
  CHECK(Bench.says(Bench.apply("beaudoin"), "version 3, which is in force"));
  CHECK_EQUAL(Refused, Bench.run({"apply", "--back-to", "9"}).Code);
}

// Guards against a forgotten overlay that takes a site out of service.
TEST(apply, AForgottenSiteIsRefused) {
  Bench.apply("beaudoin");
  std::string Folder = std::string(GENTIANLUG_SOURCE_DIR) + "/examples/";
  std::vector<std::string> Words = {"apply", "--base",
                                    Folder + "beaudoin/base.json", "--overlay",
                                    "west=" + Folder + "beaudoin/qc-east.json"};
  CHECK_EQUAL(Refused, Bench.run(Words).Code);
  Words.insert(Words.end(), {"--drop-site", "east"});
  CHECK_EQUAL(Success, Bench.run(Words).Code);
}

// Guards against a malformed head that nobody can replace, and against one
// that is replaced by a lower version.
TEST(apply, AMalformedHeadIsReplacedOnlyAboveANamedVersion) {
  Bench.Objects.set(store::ConfigHeadKey, "{");
  CHECK_EQUAL(Refused, Bench.apply("beaudoin").Code);
  auto Report = Bench.run(
      command_bench::withFiles("beaudoin", {"apply", "--after-version", "7"}));
  CHECK_EQUAL(Success, Report.Code);
  CHECK_EQUAL(8U, version());
}

/// A file that is removed at the end of the test.
class temporary_file {
public:
  explicit temporary_file(const std::string &Text) {
    int File = mkstemp(Path.data());
    CHECK(File >= 0);
    close(File);
    std::ofstream(Path) << Text;
  }
  ~temporary_file() { unlink(Path.c_str()); }
  temporary_file(const temporary_file &) = delete;
  temporary_file &operator=(const temporary_file &) = delete;

  std::string Path = "/tmp/gentianlug-test-XXXXXX";
};

// Guards against a rollout near its end that blocks every other change.
TEST(apply, ARolloutInForceKeepsItsTime) {
  auto Apply = [this](const std::string &Limits, const std::string &Finish) {
    temporary_file Base(R"({"services": [{"name": "a", "version": "v1",
        "limits": {"slots": )" +
                        Limits + R"(}}], "rollouts": [{"service": "a",
        "version": "v2", "finish_by": ")" +
                        Finish + R"("}]})");
    temporary_file Overlay("{}");
    return Bench.run(
        {"apply", "--base", Base.Path, "--overlay", "east=" + Overlay.Path});
  };
  // The set clock starts at 2019-12-20T00:00:00Z.
  CHECK_EQUAL(Success, Apply("10", "2019-12-20T00:01:00Z").Code);
  Bench.Driver.Clock.advance(std::chrono::seconds(45));
  CHECK_EQUAL(Success, Apply("9", "2019-12-20T00:01:00Z").Code);
  Bench.Driver.Clock.advance(std::chrono::seconds(45));
  CHECK_EQUAL(Success, Apply("8", "2019-12-20T00:01:00Z").Code);
  auto Late = Apply("8", "2019-12-20T00:01:35Z");
  CHECK_EQUAL(Refused, Late.Code);
  CHECK(Bench.says(Late, "rollouts.a.finish_by: is nearer than 30 s"));
  CHECK_EQUAL(3U, version());
}

TEST_GROUP(diff) { command_bench Bench; };

// Guards against a change that is accepted unseen.
TEST(diff, TellsWhatWouldChangeAgainstTheVersionInForce) {
  auto First = Bench.run(command_bench::withFiles("beaudoin", {"diff"}));
  CHECK(Bench.says(First, "No version is in force; everything is new."));
  Bench.apply("beaudoin");
  auto Same = Bench.run(command_bench::withFiles("beaudoin", {"diff"}));
  CHECK(Bench.says(Same, "Nothing changes against version 1."));
  auto Other = Bench.run(command_bench::withFiles("strunohost", {"diff"}));
  CHECK(Bench.says(Other, "Service commandes is removed."));
  CHECK(Bench.says(Other, "Service katalog is added"));
  CHECK(Bench.says(Other, "zone_round_trip_us changes from 1000 to 1500"));
  CHECK_EQUAL(1, Other.ReportJson["version_in_force"].get<int>());
}
