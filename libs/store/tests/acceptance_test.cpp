#include "gentianlug/store/acceptance.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::store;

static acceptance_proposal proposal(const std::string &Author,
                                    const std::string &WriteId) {
  return {"hash-" + WriteId, Author, "because", wall_time{}, WriteId};
}

TEST_GROUP(acceptance){
    /// Accepts \p Count versions of other people.
    observed_head moveOn(observed_head From, int Count){
        for (int Number = 0; Number < Count; ++Number){
            std::string Id = "other-" + std::to_string(From.Head.Version + 1);
From.Head = nextHead(From.Head, proposal("paul", Id));
++From.Revision;
}
return From;
}
}
;

// Guards against a head that grows without bound, and a version that does not
// grow.
TEST(acceptance, VersionsGrowByOneAndTheLastTenAreKept) {
  observed_head Head = moveOn({}, 25);
  CHECK_EQUAL(25U, Head.Head.Version);
  auto Known = knownVersions(Head.Head);
  CHECK_EQUAL(MaxRetainedVersions, Known.size());
  CHECK_EQUAL(16U, Known.back().Version);
  CHECK(findVersion(Head.Head, 16).has_value());
  CHECK_FALSE(findVersion(Head.Head, 15).has_value());
}

// Guards against a version that is accepted twice because its answer got lost.
TEST(acceptance, LostAnswerIsRecognisedByWriteIdAlsoLater) {
  observed_head Before = moveOn({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  for (int Later = 0; Later < int(MaxRetainedVersions); ++Later) {
    observed_head After = moveOn({Attempt, Before.Revision + 1}, Later);
    auto Verdict = determineWriteOutcome(Attempt, Before.Revision, After);
    CHECK(write_outcome::Accepted == Verdict.Outcome);
    CHECK_EQUAL(4U, Verdict.Version.Version);
  }
}

// Guards against a guess when the head has moved on too far to tell.
TEST(acceptance, OutcomeBeyondTheKeptVersionsIsUnknown) {
  observed_head Before = moveOn({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  observed_head After =
      moveOn({Attempt, Before.Revision + 1}, int(MaxRetainedVersions));
  CHECK(write_outcome::Unknown ==
        determineWriteOutcome(Attempt, Before.Revision, After).Outcome);
}

// Guards against a refusal that names the newest operator, not the winner.
TEST(acceptance, LostRaceNamesTheWinnerOfThatVersion) {
  observed_head Before = moveOn({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  observed_head After{nextHead(Before.Head, proposal("anna", "hers")),
                      Before.Revision + 1};
  auto Verdict =
      determineWriteOutcome(Attempt, Before.Revision, moveOn(After, 2));
  CHECK(write_outcome::LostRace == Verdict.Outcome);
  STRCMP_EQUAL("anna", Verdict.Version.Author.c_str());
  CHECK_EQUAL(4U, Verdict.Version.Version);
}

// Guards against giving up while the same write can still be made.
TEST(acceptance, UnchangedHeadMayBeWrittenAgain) {
  observed_head Before = moveOn({}, 3);
  config_head Attempt = nextHead(Before.Head, proposal("marie", "mine"));
  CHECK(write_outcome::Retryable ==
        determineWriteOutcome(Attempt, Before.Revision, Before).Outcome);
}
