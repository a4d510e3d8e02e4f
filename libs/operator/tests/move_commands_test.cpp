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
  command_bench Bench;
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

  command_report move(const std::string &Move) {
    return Bench.run({"rollout", Move, "commandes", "--author", "marie",
                      "--reason", "inventory day"});
  }
};

// Guards against an operator's write that looks like a new rollout or like a
// controller with a newer epoch.
TEST(rollout_command, MovesKeepIdEpochAndShare) {
  CHECK_EQUAL(Success, move("pause").Code);
  rollout_state Paused = stored();
  CHECK(rollout_phase::Paused == Paused.Phase);
  STRCMP_EQUAL("inventory day (marie)", Paused.Reason.c_str());
  CHECK_EQUAL(4U, Paused.Epoch);
  STRCMP_EQUAL(State.Id.c_str(), Paused.Id.c_str());
  DOUBLES_EQUAL(0.25, Paused.Share, 0);
  CHECK_EQUAL(Success, move("resume").Code);
  CHECK(rollout_phase::Progressing == stored().Phase);
  CHECK_EQUAL(Success, move("take-back").Code);
  CHECK(rollout_phase::RolledBack == stored().Phase);
  DOUBLES_EQUAL(0, stored().Share, 0);
}

// Guards against a move that overwrites what the controller has just decided.
TEST(rollout_command, ALostRaceIsDecidedAnew) {
  Bench.Objects.BeforeNextPut = [this] {
    State.Share = 0.5;
    store();
  };
  CHECK_EQUAL(Success, move("pause").Code);
  DOUBLES_EQUAL(0.5, stored().Share, 0);
  Bench.Objects.BeforeNextPut = [this] {
    State.Phase = rollout_phase::Completed;
    store();
  };
  auto Report = move("take-back");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.says(Report, "the rollout is done"));
  CHECK(rollout_phase::Completed == stored().Phase);
}

// Guards against a loop without end when a controller always wins.
TEST(rollout_command, EndlessRacesEndWithWhoWon) {
  std::function<void()> Win = [&] {
    store();
    Bench.Objects.BeforeNextPut = Win;
  };
  Bench.Objects.BeforeNextPut = Win;
  auto Report = move("pause");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.says(Report, "others changed live/rollout/commandes 5 times"));
  CHECK(Bench.says(Report, "growing with 25.0% of the calls"));
}

// Guards against a second move, or a statement that somebody else has moved
// the rollout, after the answer to the first was lost.
TEST(rollout_command, LostAnswersAreRecognised) {
  Bench.Objects.Faults = {fault::None, fault::LostAnswer};
  auto Report = move("pause");
  CHECK_EQUAL(Success, Report.Code);
  CHECK(Report.ReportJson["changed"].get<bool>());
  CHECK_EQUAL(1U, Bench.Objects.Puts);
}

// Guards against moves of a rollout that is over or never began.
TEST(rollout_command, ImpossibleMovesAreRefused) {
  State.FinishBy = Bench.Driver.wallNow();
  store();
  CHECK_EQUAL(Refused, move("pause").Code);
  Bench.Objects.Objects.clear();
  CHECK_EQUAL(Refused, move("pause").Code);
  CHECK_EQUAL(BadUsage, move("pose").Code);
}

TEST_GROUP(zone_command) {
  command_bench Bench;

  void setup() override { Bench.apply("beaudoin"); }

  command_report move(const std::string &Move, const std::string &Zone,
                      const std::string &Author = "marie") {
    return Bench.run({"zone", Move, Zone, "--author", Author, "--reason",
                      "flood of " + Author});
  }
};

// Guards against a zone that stays out, or is out without a reason.
TEST(zone_command, ZonesGoOutAndComeBackWithAuthorAndReason) {
  CHECK_EQUAL(Success, move("out", "qc-east-1").Code);
  CHECK(Bench.says(Bench.run({"zone", "status"}), "by marie: flood of marie"));
  CHECK(Bench.says(Bench.run({"status"}), "Zone qc-east-1 is out since"));
  CHECK_EQUAL(Success, move("in", "qc-east-1").Code);
  CHECK(Bench.says(Bench.run({"zone", "status"}), "No zone is out."));
  CHECK(Bench.says(Bench.run({"events"}), "qc-east-1 was brought back at"));
}

// Guards against a zone that another operator takes out at the same moment and
// that is forgotten.
TEST(zone_command, RacingOperatorsKeepBothZonesOut) {
  Bench.Objects.BeforeNextPut = [this] { move("out", "qc-east-2", "paul"); };
  CHECK_EQUAL(Success, move("out", "qc-east-1").Code);
  auto Report = Bench.run({"zone", "status"});
  CHECK_EQUAL(2U, Report.ReportJson["zones_out"].size());
  auto Same = move("out", "qc-east-2");
  CHECK_EQUAL(Success, Same.Code);
  CHECK(Bench.says(Same, "is out already, by paul: flood of paul"));
}

// Guards against a misspelt zone that is believed to be out, and against a
// site without any zone.
TEST(zone_command, UnknownAndLastZonesAreNotTakenOut) {
  CHECK(Bench.says(move("out", "qc-est-1"),
                   "known zones: qc-east-1, qc-east-2, qc-east-3"));
  move("out", "qc-east-1");
  move("out", "qc-east-2");
  auto Report = move("out", "qc-east-3");
  CHECK_EQUAL(Refused, Report.Code);
  CHECK(Bench.says(Report, "is the last one in service"));
}

// Guards against a list of moves that outgrows its object.
TEST(zone_command, MovesAreBounded) {
  for (int Round = 0; Round < 15; ++Round) {
    move("out", "qc-east-1");
    move("in", "qc-east-1");
  }
  auto State =
      wire::decodeZoneState(Bench.Objects.Objects[store::ZonesKey].Value);
  CHECK_EQUAL(store::MaxZoneChanges, State->RecentChanges.size());
}
