#include "fake_store.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

using namespace gentianlug;
using namespace gentianlug::operator_cli;
using namespace gentianlug::operator_cli::test;
using rollout::rollout_phase;
using rollout::rollout_state;

static const std::string Key = store::rolloutKey(service_name("commandes"));

TEST_GROUP(rollout_command) {
  command_fixture Bench;
  rollout_state State;

  void setup() override {
    State.Id = "commandes@v2@99";
    State.Service = service_name("commandes");
    State.Version = version_name("v2");
    State.Phase = rollout_phase::Progressing;
    State.Share = 0.25;
    State.NonIdempotentShare = 0.25;
    State.FinishBy = Bench.Driver.wallNow() + std::chrono::minutes(10);
    State.Epoch = 4;
    State.WriteId = "controller";
    store();
  }

  void store() { Bench.Objects.set(Key, wire::encode(State)); }

  rollout_state stored() {
    return *wire::decodeRolloutState(Bench.Objects.Objects[Key].Value);
  }

  command_report change(const std::string &Action) {
    return Bench.run({"rollout", Action, "commandes", "--author", "marie",
                      "--reason", "inventory day"});
  }
};

// Guards against an operator's write that the controller takes for a new
// rollout or for the write of a controller with a newer epoch.
TEST(rollout_command, ChangesKeepIdEpochAndShare) {
  CHECK_EQUAL(Success, change("pause").Code);
  rollout_state Paused = stored();
  CHECK(rollout_phase::Paused == Paused.Phase);
  STRCMP_EQUAL("inventory day (marie)", Paused.Reason.c_str());
  CHECK_EQUAL(4U, Paused.Epoch);
  STRCMP_EQUAL(State.Id.c_str(), Paused.Id.c_str());
  DOUBLES_EQUAL(0.25, Paused.Share, 0);
  CHECK_EQUAL(Success, change("resume").Code);
  CHECK(rollout_phase::Progressing == stored().Phase);
  CHECK_EQUAL(Success, change("take-back").Code);
  CHECK(rollout_phase::RolledBack == stored().Phase);
  DOUBLES_EQUAL(0, stored().Share, 0);
}

// Guards against a change that overwrites a concurrent write of the controller.
TEST(rollout_command, DecidesAgainAfterLostRace) {
  Bench.Objects.BeforeNextPut = [this] {
    State.Share = 0.5;
    store();
  };
  CHECK_EQUAL(Success, change("pause").Code);
  DOUBLES_EQUAL(0.5, stored().Share, 0);
  Bench.Objects.BeforeNextPut = [this] {
    State.Phase = rollout_phase::Completed;
    store();
  };
  auto Report = change("take-back");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.hasText(Report, "the rollout is done"));
  CHECK(rollout_phase::Completed == stored().Phase);
}

// Guards against an endless loop when every write conflicts with one of the
// controller. The refusal contains the state that the controller has written.
TEST(rollout_command, GivesUpAfterRepeatedConflicts) {
  std::function<void()> WriteConcurrently = [&] {
    store();
    Bench.Objects.BeforeNextPut = WriteConcurrently;
  };
  Bench.Objects.BeforeNextPut = WriteConcurrently;
  auto Report = change("pause");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.hasText(Report, "others changed live/rollout/commandes 5 times"));
  CHECK(Bench.hasText(Report, "growing with 25.0% of the calls"));
}

// Guards against a second write, or a report that somebody else has changed the
// rollout, when the response to the first write was lost.
TEST(rollout_command, RecognizesOwnWriteAfterLostResponse) {
  Bench.Objects.NextFaults = {fault::None, fault::LostResponse};
  auto Report = change("pause");
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Report.ReportJson["changed"].get<bool>());
  CHECK_EQUAL(1U, Bench.Objects.PutCount);
}

// Guards against changes of a rollout that has ended or never started.
TEST(rollout_command, RefusesChangesOfFinishedOrMissingRollouts) {
  State.FinishBy = Bench.Driver.wallNow();
  store();
  CHECK_EQUAL(Refused, change("pause").Code);
  Bench.Objects.Objects.clear();
  CHECK_EQUAL(Refused, change("pause").Code);
  CHECK_EQUAL(BadUsage, change("pose").Code);
}

TEST_GROUP(zone_command) {
  command_fixture Bench;

  void setup() override { Bench.apply("beaudoin"); }

  command_report change(const std::string &Action, const std::string &Zone,
                        const std::string &Author = "marie") {
    return Bench.run({"zone", Action, Zone, "--author", Author, "--reason",
                      "flood of " + Author});
  }
};

// Guards against a zone that cannot be returned to service, or whose author and
// reason are lost.
TEST(zone_command, RecordsAuthorAndReasonAndReturnsZones) {
  CHECK_EQUAL(Success, change("out", "qc-east-1").Code);
  CHECK(
      Bench.hasText(Bench.run({"zone", "status"}), "by marie: flood of marie"));
  CHECK(Bench.hasText(Bench.run({"status"}), "Zone qc-east-1 is out since"));
  CHECK_EQUAL(Success, change("in", "qc-east-1").Code);
  CHECK(Bench.hasText(Bench.run({"zone", "status"}), "No zone is out."));
  CHECK(Bench.hasText(Bench.run({"events"}), "qc-east-1 was brought back at"));
}

// Guards against losing the change of another operator who takes out a second
// zone at the same time.
TEST(zone_command, ConcurrentChangesKeepBothZonesOut) {
  Bench.Objects.BeforeNextPut = [this] { change("out", "qc-east-2", "paul"); };
  CHECK_EQUAL(Success, change("out", "qc-east-1").Code);
  auto Report = Bench.run({"zone", "status"});
  CHECK_EQUAL(2U, Report.ReportJson["zones_out"].size());
  auto Same = change("out", "qc-east-2");
  CHECK_EQUAL(Success, Same.Code);
  CHECK(Bench.hasText(Same, "is out already, by paul: flood of paul"));
}

// Guards against a success report for a misspelt zone name, and against a site
// without any zone in service.
TEST(zone_command, RefusesUnknownAndLastZone) {
  CHECK(Bench.hasText(change("out", "qc-est-1"),
                      "known zones: qc-east-1, qc-east-2, qc-east-3"));
  change("out", "qc-east-1");
  change("out", "qc-east-2");
  auto Report = change("out", "qc-east-3");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.hasText(Report, "is the last one in service"));
}

// Guards against a list of changes that outgrows the size limit of its object.
TEST(zone_command, RecentChangesAreBounded) {
  for (int Round = 0; Round < 15; ++Round) {
    change("out", "qc-east-1");
    change("in", "qc-east-1");
  }
  auto State =
      wire::decodeZoneState(Bench.Objects.Objects[store::ZonesKey].Value);
  CHECK_EQUAL(store::MaxZoneChanges, State->RecentChanges.size());
}
