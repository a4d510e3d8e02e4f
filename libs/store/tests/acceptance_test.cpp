#include "gentianlug/store/acceptance.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::store;

static acceptance_proposal proposal(const std::string &Author,
                                    const std::string &WriteId) {
  return {"hash-" + WriteId, Author, "because", wall_time{}, WriteId};
}

TEST_GROUP(acceptance){
    /// Accepts \p Count versions from other operators.
    observed_head acceptVersions(observed_head From, int Count){
        for (int Number = 0; Number < Count; ++Number){
            std::string Id = "other-" + std::to_string(From.Head.Version + 1);
From.Head = nextHead(From.Head, proposal("paul", Id));
++From.Revision;
}
return From;
}
}
;

// Guards against a head that grows without limit, and against a version number
// that does not increase.
TEST(acceptance, VersionsIncreaseByOneAndTheLastTenAreRetained) {
  observed_head Head = acceptVersions({}, 25);
  CHECK_EQUAL(25U, Head.Head.Version);
  auto Versions = knownVersions(Head.Head);
  CHECK_EQUAL(MaxRetainedVersions, Versions.size());
  CHECK_EQUAL(16U, Versions.back().Version);
  CHECK(findVersion(Head.Head, 16).has_value());
  CHECK_FALSE(findVersion(Head.Head, 15).has_value());
}

// Guards against a version that is accepted twice because the response to its
// write was lost.
TEST(acceptance, LostResponseIsDetectedByWriteIdInLaterHeads) {
  observed_head Before = acceptVersions({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  for (int Later = 0; Later < int(MaxRetainedVersions); ++Later) {
    observed_head After = acceptVersions({Attempt, Before.Revision + 1}, Later);
    auto Result = determineWriteOutcome(Attempt, Before.Revision, After);
    CHECK(write_outcome::Accepted == Result.Outcome);
    CHECK_EQUAL(4U, Result.Version.Version);
  }
}

// Guards against claiming an outcome when the head has advanced too far to
// determine it.
TEST(acceptance, OutcomeBeyondTheRetainedVersionsIsUnknown) {
  observed_head Before = acceptVersions({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  observed_head After =
      acceptVersions({Attempt, Before.Revision + 1}, int(MaxRetainedVersions));
  CHECK(write_outcome::Unknown ==
        determineWriteOutcome(Attempt, Before.Revision, After).Outcome);
}

// Guards against an error that names the operator of the newest version instead
// of the one who won the race.
TEST(acceptance, LostRaceNamesTheWinnerOfThatVersion) {
  observed_head Before = acceptVersions({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  observed_head After{nextHead(Before.Head, proposal("anna", "hers")),
                      Before.Revision + 1};
  auto Result =
      determineWriteOutcome(Attempt, Before.Revision, acceptVersions(After, 2));
  CHECK(write_outcome::LostRace == Result.Outcome);
  STRCMP_EQUAL("anna", Result.Version.Author.c_str());
  CHECK_EQUAL(4U, Result.Version.Version);
}

// Guards against giving up while the same write can be retried.
TEST(acceptance, UnchangedHeadIsRetryable) {
  observed_head Before = acceptVersions({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  CHECK(write_outcome::Retryable ==
        determineWriteOutcome(Attempt, Before.Revision, Before).Outcome);
}
