#include "gentianlug/mesh/version_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

TEST_GROUP(VersionPolicy) {
  version_policy Policy;
  generator Gen{7};
  const service_name Service{"s"};
  const version_name Old{"v1"};
  const version_name New{"v2"};

  void setup() override { Policy.setBaseVersion(Service, Old); }
  void set(rollout_stage Stage, double Share, object_revision Revision = 1) {
    rollout_record Record;
    Record.Service = Service;
    Record.TargetVersion = New;
    Record.Stage = Stage;
    Record.TrafficShare = Share;
    Record.Revision = Revision;
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

// Guards against a version that runs before it was ordered.
TEST(VersionPolicy, OnlyTheBaseServesWithoutARollout) {
  CHECK(Policy.mayServe(Service, Old));
  CHECK_FALSE(Policy.mayServe(Service, New));
  CHECK_FALSE(Policy.mayServe(service_name("unknown"), Old));
  set(rollout_stage::Pending, 0);
  CHECK_FALSE(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0, newShare(), 0);
}

TEST(VersionPolicy, RunningRolloutGivesItsShare) {
  set(rollout_stage::Running, 0.2);
  CHECK(Policy.mayServe(Service, Old));
  CHECK(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0.2, newShare(), 0.04);
}

// Guards against calls on their way to servers that stop at the end.
TEST(VersionPolicy, SwitchingGivesTheOldVersionNothing) {
  set(rollout_stage::Switching, 1);
  CHECK_FALSE(Policy.mayServe(Service, Old));
  DOUBLES_EQUAL(1, newShare(), 0);
}

TEST(VersionPolicy, RolledBackVersionStaysOut) {
  set(rollout_stage::RolledBack, 0);
  CHECK_FALSE(Policy.mayServe(Service, New));
  DOUBLES_EQUAL(0, newShare(), 0);
}

// Guards against the old version coming back when the order of a completed
// rollout is removed.
TEST(VersionPolicy, CompletedVersionIsTheBaseFromThenOn) {
  set(rollout_stage::Completed, 1);
  CHECK(Policy.mayServe(Service, New));
  CHECK_FALSE(Policy.mayServe(Service, Old));
  Policy.setRollouts({});
  CHECK(Policy.mayServe(Service, New));
}

// Guards against a relay that is behind and shows an earlier stage.
TEST(VersionPolicy, OlderRecordsDoNotReplaceNewerOnes) {
  set(rollout_stage::RolledBack, 0, 9);
  set(rollout_stage::Running, 0.5, 8);
  CHECK_FALSE(Policy.mayServe(Service, New));
}
