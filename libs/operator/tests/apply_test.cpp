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
  command_fixture Bench;

  config_version version() { return readHead(Bench.Store)->Head.Version; }
};

// Applying unchanged content must neither add a version nor write objects.
TEST(apply, UnchangedContentAddsNoVersion) {
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);
  unsigned Puts = Bench.Objects.PutCount;
  auto Again = Bench.apply("beaudoin");
  CHECK_EQUAL(Success, Again.Code);
  CHECK(Bench.hasText(Again, "in force already"));
  CHECK_FALSE(Again.ReportJson["accepted"].get<bool>());
  CHECK_EQUAL(1U, version());
  CHECK_EQUAL(Puts, Bench.Objects.PutCount);
}

// Of two concurrent operators only one may succeed; the other one must be told
// whose version was accepted instead.
TEST(apply, ReportsTheWinnerOfAConcurrentApply) {
  Bench.apply("beaudoin");
  // The other operator's version is accepted before ours writes its first part.
  Bench.Objects.BeforeNextPut = [this] { Bench.apply("strunohost", "paul"); };
  auto Lost = Bench.run(command_fixture::withFiles(
      "strunohost", {"apply", "--author", "marie", "--reason", "x"}));
  CHECK_EQUAL(Refused, Lost.Code);
  CHECK(Bench.hasText(Lost, "paul was faster with version 2 (because of "
                            "strunohost)"));
  CHECK_EQUAL(2U, version());
}

// A lost response must not cause a version to be accepted twice or reported as
// refused.
TEST(apply, RecoversFromLostResponses) {
  Bench.Objects.DefaultFault = fault::LostResponse;
  // Each write of a part loses its response until the retries are exhausted.
  auto Unanswered = Bench.apply("beaudoin");
  CHECK_EQUAL(PlatformDown, Unanswered.Code);
  CHECK_EQUAL(0U, version());
  Bench.Objects.DefaultFault = fault::None;
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);

  auto RollBack = [this] {
    return Bench.run({"apply", "--back-to", "1", "--author", "marie"});
  };
  Bench.apply("strunohost");
  // Read of the head, read of the manifest, write of the head.
  Bench.Objects.NextFaults = {fault::None, fault::None, fault::LostResponse};
  auto Report = RollBack();
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Bench.hasText(Report, "Version 3 is accepted."));
  CHECK_EQUAL(3U, version());
}

// Without a platform apply must fail after a bounded time, not hang.
TEST(apply, ReportsAnOutageAfterBoundedRetries) {
  Bench.Objects.DefaultFault = fault::Unavailable;
  steady_time Before = Bench.Driver.steadyNow();
  auto Report = Bench.apply("beaudoin");
  CHECK_EQUAL(PlatformDown, Report.Code);
  CHECK(Bench.hasText(Report, "everything in force stays in force"));
  CHECK(Bench.Driver.steadyNow() - Before < std::chrono::seconds(10));
}

// A rate limit that rejects requests for a second must not make apply fail.
TEST(apply, RetriesRateLimitedOperations) {
  Bench.Objects.NextFaults.assign(4, fault::RateLimited);
  CHECK_EQUAL(Success, Bench.apply("beaudoin").Code);
  CHECK_EQUAL(1U, version());
}

// Rolling back must add a version with a higher number.
TEST(apply, RollbackAddsAHigherVersionWithTheOldContent) {
  Bench.apply("beaudoin");
  Bench.apply("strunohost");
  auto Report = Bench.run({"apply", "--back-to", "1", "--author", "marie"});
  CHECK_EQUAL(Success, Report.Code);
  auto Head = readHead(Bench.Store)->Head;
  CHECK_EQUAL(3U, Head.Version);
  CHECK(store::findVersion(Head, 1)->ManifestHash == Head.ManifestHash);
  CHECK(Bench.hasText(Bench.apply("beaudoin"), "version 3, which is in force"));
  CHECK_EQUAL(Refused, Bench.run({"apply", "--back-to", "9"}).Code);
}

// A forgotten overlay must not take a site out of service.
TEST(apply, RefusesToOmitAnActiveSite) {
  Bench.apply("beaudoin");
  std::string ExamplesFolder =
      std::string(GENTIANLUG_SOURCE_DIR) + "/examples/";
  std::vector<std::string> Arguments = {
      "apply", "--base", ExamplesFolder + "beaudoin/base.json", "--overlay",
      "west=" + ExamplesFolder + "beaudoin/qc-east.json"};
  CHECK_EQUAL(Refused, Bench.run(Arguments).Code);
  Arguments.insert(Arguments.end(), {"--drop-site", "east"});
  CHECK_EQUAL(Success, Bench.run(Arguments).Code);
}

// A malformed head must be replaceable, but only by a version above one that
// the operator states.
TEST(apply, ReplacesAMalformedHeadOnlyAboveAGivenVersion) {
  Bench.Objects.set(store::ConfigHeadKey, "{");
  CHECK_EQUAL(Refused, Bench.apply("beaudoin").Code);
  auto Report = Bench.run(command_fixture::withFiles(
      "beaudoin", {"apply", "--after-version", "7"}));
  CHECK_EQUAL(Success, Report.Code);
  CHECK_EQUAL(8U, version());
}

/// Creates a temporary file and removes it on destruction.
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

// A rollout that is already active and close to its finish time must not block
// other changes; a new finish time that is too near must be refused.
TEST(apply, AnActiveRolloutKeepsItsFinishTime) {
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
  // The manual clock starts at 2019-12-20T00:00:00Z.
  CHECK_EQUAL(Success, Apply("10", "2019-12-20T00:01:00Z").Code);
  Bench.Driver.Clock.advance(std::chrono::seconds(45));
  CHECK_EQUAL(Success, Apply("9", "2019-12-20T00:01:00Z").Code);
  Bench.Driver.Clock.advance(std::chrono::seconds(45));
  CHECK_EQUAL(Success, Apply("8", "2019-12-20T00:01:00Z").Code);
  auto TooNear = Apply("8", "2019-12-20T00:01:35Z");
  CHECK_EQUAL(Refused, TooNear.Code);
  CHECK(Bench.hasText(TooNear, "rollouts.a.finish_by: is nearer than 30 s"));
  CHECK_EQUAL(3U, version());
}

TEST_GROUP(diff) { command_fixture Bench; };

// diff must show every change that apply would make to the active version.
TEST(diff, ShowsChangesAgainstTheActiveVersion) {
  auto First = Bench.run(command_fixture::withFiles("beaudoin", {"diff"}));
  CHECK(Bench.hasText(First, "No version is in force; everything is new."));
  Bench.apply("beaudoin");
  auto Same = Bench.run(command_fixture::withFiles("beaudoin", {"diff"}));
  CHECK(Bench.hasText(Same, "Nothing changes against version 1."));
  auto Other = Bench.run(command_fixture::withFiles("strunohost", {"diff"}));
  CHECK(Bench.hasText(Other, "Service commandes is removed."));
  CHECK(Bench.hasText(Other, "Service katalog is added"));
  CHECK(Bench.hasText(Other, "zone_round_trip_us changes from 1000 to 1500"));
  CHECK_EQUAL(1, Other.ReportJson["version_in_force"].get<int>());
}
