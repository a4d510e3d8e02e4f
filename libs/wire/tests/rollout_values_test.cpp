#include "gentianlug/wire/rollout_values.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::wire;

TEST_GROUP(rollout_values){};

// Guards against a controller resuming from a state that differs from the one
// that was written.
TEST(rollout_values, StateRoundTrip) {
  rollout::rollout_state State;
  State.Id = "commandes@v2@1";
  State.Service = service_name("commandes");
  State.Version = version_name("v2");
  State.Phase = rollout::rollout_phase::Progressing;
  State.Share = 0.05;
  State.NonIdempotentShare = 0.025;
  State.FinishBy = wall_time(std::chrono::seconds(1));
  State.Epoch = 3;
  State.ControllerAddress = {"127.0.0.1", 7003};
  State.ControllerCount = 2;
  State.ConfigVersion = 9;
  auto Decoded = decodeRolloutState(encode(State));
  CHECK(bool(Decoded));
  CHECK(State == *Decoded);
}

// Guards against evidence with more latency buckets than the receiver has.
TEST(rollout_values, RejectsEvidenceWithTooManyBuckets) {
  rollout::server_evidence Evidence;
  Evidence.Node = node_id("n");
  Evidence.Service = service_name("s");
  Evidence.Version = version_name("v");
  Evidence.Quarantined = true;
  Evidence.Routes.push_back({route_name("r"), 2, 1, {}});
  std::string Text = encode(Evidence);
  auto Decoded = decodeServerEvidence(Text);
  CHECK(bool(Decoded));
  CHECK(Evidence == *Decoded);
  Text.insert(Text.find("\"latencies\":[") + 13, "0,");
  CHECK_FALSE(bool(decodeServerEvidence(Text)));
}

// Guards against losing a quarantine on its way to the node of the server.
TEST(rollout_values, NoticeRoundTrip) {
  rollout::controller_notice Notice{"commandes@v2@1",
                                    service_name("commandes"),
                                    4,
                                    {"127.0.0.1", 7003},
                                    true,
                                    0.25,
                                    "errors"};
  auto Decoded = decodeControllerNotice(encode(Notice));
  CHECK(bool(Decoded));
  CHECK(Notice == *Decoded);
}
