#include "gentianlug/mesh/version_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

static store_revision revision(std::uint64_t Number, std::uint64_t Era = 1) {
  return {store_era(Era), Number};
}

TEST_GROUP(VersionPolicy) {
  version_policy Policy;
  generator Gen{7};
  const service_name Service{"s"};
  const version_name Old{"v1"};
  const version_name New{"v2"};
  const steady_time Now{};

  void setup() override {
    Policy.setBaseVersions({{Service, {Old, revision(0)}}});
  }
  rollout_record record(rollout_stage Stage, const store_revision &Revision)
      const {
    rollout_record Record;
    Record.Service = Service;
    Record.TargetVersion = New;
    Record.BaseVersion = Old;
    Record.Stage = Stage;
    Record.Revision = Revision;
    return Record;
  }
  void setRollout(rollout_stage Stage, double Share,
                  std::uint64_t Revision = 1) {
    rollout_record Record = record(Stage, revision(Revision));
    Record.TrafficShare = Share;
    Policy.setRollouts({Record}, Now);
  }
  double newShare() {
    int Count = 0;
    constexpr int Draws = 2000;
    for (int Draw = 0; Draw < Draws; ++Draw)
      Count += *Policy.chooseVersion(Service, Gen) == New ? 1 : 0;
    return double(Count) / Draws;
  }
};

// Guards against a version that receives calls before its rollout starts.
TEST(VersionPolicy, OnlyBaseVersionServesWithoutRollout) {
  CHECK(Policy.mayServe(Service, Old));
  CHECK_FALSE(Policy.mayServe(Service, New));
  CHECK_FALSE(Policy.mayServe(service_name("unknown"), Old));
  setRollout(rollout_stage::Pending, 0);
  CHECK_FALSE(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0, newShare(), 0);
}

TEST(VersionPolicy, RunningRolloutUsesTrafficShare) {
  setRollout(rollout_stage::Running, 0.2);
  CHECK(Policy.mayServe(Service, Old));
  CHECK(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0.2, newShare(), 0.04);
}

// Guards against calls in flight to old servers that stop after the switch.
TEST(VersionPolicy, SwitchingStopsCallsToOldVersion) {
  setRollout(rollout_stage::Switching, 1);
  CHECK_FALSE(Policy.mayServe(Service, Old));
  DOUBLES_EQUAL(1, newShare(), 0);
}

TEST(VersionPolicy, RolledBackVersionGetsNoCalls) {
  setRollout(rollout_stage::RolledBack, 0);
  CHECK_FALSE(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0, newShare(), 0);
}

// Guards against a return to the old version when the record of a completed
// rollout is removed.
TEST(VersionPolicy, CompletedVersionBecomesBaseVersion) {
  setRollout(rollout_stage::Completed, 1);
  CHECK(Policy.mayServe(Service, New));
  CHECK_FALSE(Policy.mayServe(Service, Old));
  Policy.setRollouts({}, Now);
  CHECK(Policy.mayServe(Service, New));
}

// Guards against a version that was rolled back and stays in use, because it
// had been stored as the base version before the rollout was to complete.
TEST(VersionPolicy, RecordDecidesAgainstTheStoredBaseVersion) {
  rollout_record Record;
  Record.Service = Service;
  Record.TargetVersion = New;
  Record.BaseVersion = Old;
  Record.Revision = revision(5);
  Policy.setBaseVersions({{Service, {New, revision(9)}}});
  for (rollout_stage Stage :
       {rollout_stage::Pending, rollout_stage::RolledBack}) {
    Record.Stage = Stage;
    Policy.setRollouts({Record}, Now);
    CHECK(Policy.mayServe(Service, Old));
    CHECK_FALSE(Policy.mayServe(Service, New));
  }
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Record.Stage = rollout_stage::Completed;
  Policy.setRollouts({Record}, Now);
  CHECK(Policy.mayServe(Service, New));
  CHECK_FALSE(Policy.isStoredBaseVersionOutdated(Service));
}

// Guards against a correction of the base version that a controller stores
// shortly before it completes the rollout.
TEST(VersionPolicy, RunningRolloutLeavesTheStoredBaseVersion) {
  rollout_record Record;
  Record.Service = Service;
  Record.TargetVersion = New;
  Record.BaseVersion = Old;
  Record.Stage = rollout_stage::Switching;
  Policy.setBaseVersions({{Service, {New, revision(9)}}});
  Policy.setRollouts({Record}, Now);
  CHECK_FALSE(Policy.isStoredBaseVersionOutdated(Service));
}

// Guards against nodes that differ after a record is removed: the decision of
// the record holds until a later base version is stored.
TEST(VersionPolicy, RemovedRecordHoldsUntilALaterBaseVersion) {
  rollout_record Record;
  Record.Service = Service;
  Record.TargetVersion = New;
  Record.BaseVersion = Old;
  Record.Stage = rollout_stage::RolledBack;
  Record.Revision = revision(12);
  Policy.setBaseVersions({{Service, {New, revision(9)}}});
  Policy.setRollouts({Record}, Now);
  Policy.setRollouts({}, Now);
  CHECK(Policy.mayServe(Service, Old));
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Policy.setBaseVersions({{Service, {version_name("v3"), revision(13)}}});
  CHECK(Policy.mayServe(Service, version_name("v3")));
  CHECK_FALSE(Policy.isStoredBaseVersionOutdated(Service));
}

// Guards against a relay that lags behind and returns an earlier stage.
TEST(VersionPolicy, OlderRecordsDoNotReplaceNewerOnes) {
  setRollout(rollout_stage::RolledBack, 0, 9);
  setRollout(rollout_stage::Running, 0.5, 8);
  CHECK_FALSE(Policy.mayServe(Service, New));
}

// Guards against a rollout that goes back, or back to life, because a record of
// a restored store has the higher or the lower number: of the same order, the
// later stage wins.
TEST(VersionPolicy, RecordsAreComparedAcrossARestore) {
  using stage = rollout_stage;
  struct comparison {
    stage Known;
    int KnownElapsed;
    stage Read;
    int ReadElapsed;
    bool KnownWins;
  };
  const comparison Comparisons[] = {
      {stage::RolledBack, 9, stage::Running, 3, true},
      {stage::Completed, 9, stage::Switching, 8, true},
      {stage::Switching, 6, stage::Running, 3, true},
      {stage::Running, 5, stage::Running, 3, true},
      {stage::Running, 5, stage::Running, 5, false},
      {stage::Running, 5, stage::Pending, 0, true},
      {stage::Pending, 0, stage::Running, 3, false},
      {stage::Running, 5, stage::RolledBack, 4, false},
      // The servers of one version have been stopped for the stored one.
      {stage::RolledBack, 9, stage::Completed, 8, false},
  };
  for (const comparison &Each : Comparisons)
    for (std::uint64_t KnownNumber : {5, 50}) {
      rollout_record Known = record(Each.Known, revision(KnownNumber, 1));
      rollout_record Read = record(Each.Read, revision(20, 2));
      Known.Elapsed = std::chrono::seconds(Each.KnownElapsed);
      Read.Elapsed = std::chrono::seconds(Each.ReadElapsed);
      CHECK_EQUAL(Each.KnownWins, supersedes(Known, Read));
      // Another order, and a relay that has not heard of the restore.
      CHECK(supersedes(Read, Known));
      Read.TargetVersion = version_name("v3");
      CHECK_FALSE(supersedes(Known, Read));
    }
}

// Guards against a bad version that gets calls again, and a decision that is
// lost with the next restart, after the store has come back from a copy with an
// earlier stage (review/15).
TEST(VersionPolicy, DecisionsOutliveARestore) {
  setRollout(rollout_stage::RolledBack, 0, 30);
  rollout_record Copy = record(rollout_stage::Running, revision(12, 2));
  Copy.TrafficShare = 1;
  for (int Read = 0; Read < 2; ++Read) {
    Policy.setRollouts({Copy}, Now);
    CHECK_FALSE(Policy.mayServe(Service, New));
    DOUBLES_EQUAL(0, newShare(), 0);
    CHECK(Policy.isStoredRolloutOutdated(Service));
    CHECK(Policy.storedRollout(Service)->Revision == revision(12, 2));
  }
  Policy.setRollouts({record(rollout_stage::RolledBack, revision(13, 2))}, Now);
  CHECK_FALSE(Policy.isStoredRolloutOutdated(Service));
  // The same order again, in the same era, is a new one.
  Policy.setRollouts({}, Now);
  Policy.setRollouts({record(rollout_stage::Running, revision(15, 2))}, Now);
  CHECK(Policy.mayServe(Service, New));
}

// Guards against a decision that is forgotten because the copy lacks the order,
// or because the operator had removed it; and against one that binds an order
// which the operator gives much later.
TEST(VersionPolicy, DecisionsOfRemovedOrdersOutliveARestore) {
  using namespace std::chrono_literals;
  for (auto Later : {5s, 60s}) {
    Policy = {};
    Policy.setBaseVersions({{Service, {Old, revision(1)}}});
    setRollout(rollout_stage::RolledBack, 0, 30);
    Policy.setRollouts({}, Now);
    Policy.setRollouts({record(rollout_stage::Running, revision(12, 2))},
                       Now + Later);
    CHECK_EQUAL(Later > 30s, Policy.mayServe(Service, New));
  }
}

// Guards against a return to servers that have stopped: the copy holds the base
// version of before a completed rollout.
TEST(VersionPolicy, RuledOutBaseVersionOfACopyIsNotUsed) {
  setRollout(rollout_stage::Completed, 1, 30);
  Policy.setRollouts({}, Now);
  Policy.setBaseVersions({{Service, {Old, revision(40, 2)}}});
  CHECK(*Policy.baseVersion(Service) == New);
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Policy.setBaseVersions({{Service, {version_name("v3"), revision(41, 2)}}});
  CHECK(*Policy.baseVersion(Service) == version_name("v3"));
}

// Guards against a base version that a restored store lacks: no rollout could
// be completed, since its controller wrote on the lost revision, and the next
// process would take the version of its own server.
TEST(VersionPolicy, LostBaseVersionHoldsUntilItIsStoredAgain) {
  Policy.setBaseVersions({{Service, {Old, revision(9)}}});
  CHECK_FALSE(Policy.isStoredBaseVersionOutdated(Service));
  Policy.setBaseVersions({});
  CHECK(Policy.mayServe(Service, Old));
  POINTERS_EQUAL(nullptr, Policy.storedBaseVersion(Service));
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Policy.setBaseVersions({{Service, {New, revision(4, 2)}}});
  CHECK(Policy.mayServe(Service, New));
}
