#include "gentianlug/rollout/version_split.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;
using namespace std::chrono_literals;

TEST_GROUP(version_split) {
  manual_clock Clock;
  config::service Service;
  config::rollout Rollout;
  rollout_state State;

  void setup() override {
    Service.Name = service_name("commandes");
    Service.Version = version_name("v1");
    Rollout.Service = Service.Name;
    Rollout.Version = version_name("v2");
    Rollout.FinishBy = Clock.wallNow() + 60s;
    State.Id = Rollout.id();
    State.Phase = rollout_phase::Progressing;
    State.Share = 0.1;
    State.NonIdempotentShare = 0.05;
    State.FinishBy = Rollout.FinishBy;
  }

  double share(bool Idempotent = true) {
    return splitVersions(Service, &Rollout, &State, Clock.wallNow(), Idempotent)
        .NewShare;
  }
};

// Guards against calls to a new version before a controller allows them.
TEST(version_split, newVersionGetsNoCallsWithoutAState) {
  DOUBLES_EQUAL(
      0,
      splitVersions(Service, &Rollout, nullptr, Clock.wallNow(), true).NewShare,
      0);
  State.Phase = rollout_phase::Waiting;
  DOUBLES_EQUAL(0, share(), 0);
}

// Guards against non-idempotent calls that get the larger share of idempotent
// ones.
TEST(version_split, nonIdempotentCallsHaveTheirOwnShare) {
  DOUBLES_EQUAL(0.1, share(true), 0);
  DOUBLES_EQUAL(0.05, share(false), 0);
}

// Guards against a rollout that stays unfinished when controller and platform
// are down at its finish time.
TEST(version_split, unfinishedRolloutIsTreatedAsRolledBack) {
  Clock.advance(59s);
  DOUBLES_EQUAL(0.1, share(), 0);
  Clock.advance(1s);
  DOUBLES_EQUAL(0, share(), 0);
  State.Phase = rollout_phase::Paused;
  DOUBLES_EQUAL(0, share(), 0);
  State.Phase = rollout_phase::Completed;
  DOUBLES_EQUAL(1, share(), 0);
}

// Guards against a version that receives calls again after it was rolled back,
// and against a new rollout that inherits the share of an earlier one.
TEST(version_split, stateOfAnotherRolloutIsIgnored) {
  State.Phase = rollout_phase::RolledBack;
  DOUBLES_EQUAL(0, share(), 0);
  State.Phase = rollout_phase::Completed;
  Rollout.FinishBy += 60s;
  DOUBLES_EQUAL(0, share(), 0);
}
