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

  void setup() override { Policy.setBaseVersion(Service, {Old, revision(0)}); }
  void setRollout(rollout_stage Stage, double Share,
                  std::uint64_t Revision = 1) {
    rollout_record Record;
    Record.Service = Service;
    Record.TargetVersion = New;
    Record.Stage = Stage;
    Record.TrafficShare = Share;
    Record.Revision = revision(Revision);
    Policy.setRollouts({Record});
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
  Policy.setRollouts({});
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
  Policy.setBaseVersion(Service, {New, revision(9)});
  for (rollout_stage Stage :
       {rollout_stage::Pending, rollout_stage::RolledBack}) {
    Record.Stage = Stage;
    Policy.setRollouts({Record});
    CHECK(Policy.mayServe(Service, Old));
    CHECK_FALSE(Policy.mayServe(Service, New));
  }
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Record.Stage = rollout_stage::Completed;
  Policy.setRollouts({Record});
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
  Policy.setBaseVersion(Service, {New, revision(9)});
  Policy.setRollouts({Record});
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
  Policy.setBaseVersion(Service, {New, revision(9)});
  Policy.setRollouts({Record});
  Policy.setRollouts({});
  CHECK(Policy.mayServe(Service, Old));
  CHECK(Policy.isStoredBaseVersionOutdated(Service));
  Policy.setBaseVersion(Service, {version_name("v3"), revision(13)});
  CHECK(Policy.mayServe(Service, version_name("v3")));
  CHECK_FALSE(Policy.isStoredBaseVersionOutdated(Service));
}

// Guards against a relay that lags behind and returns an earlier stage.
TEST(VersionPolicy, OlderRecordsDoNotReplaceNewerOnes) {
  setRollout(rollout_stage::RolledBack, 0, 9);
  setRollout(rollout_stage::Running, 0.5, 8);
  CHECK_FALSE(Policy.mayServe(Service, New));
}
