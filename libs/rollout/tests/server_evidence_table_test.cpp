#include "gentianlug/rollout/server_evidence_table.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::rollout;

TEST_GROUP(server_evidence_table) {
  manual_clock Clock;
  server_evidence_table Table;
  server_evidence Evidence;

  void setup() override {
    Evidence.Node = node_id("n1");
    Evidence.Version = version_name("v2");
    Evidence.ServerIncarnation = 10;
    Evidence.Sequence = 100;
    Evidence.ConcurrencyLimit = 3;
  }

  bool accept() { return Table.accept(Clock.steadyNow(), Evidence); }
};

// Guards against calls that are counted twice, or for a server that has been
// replaced.
TEST(server_evidence_table, ignoresDuplicateAndOutdatedEvidence) {
  CHECK_TRUE(accept());
  CHECK_FALSE(accept());
  Evidence.Sequence = 99;
  CHECK_FALSE(accept());
  Evidence.Sequence = 101;
  Evidence.ServerIncarnation = 9;
  CHECK_FALSE(accept());
  Evidence.ServerIncarnation = 11;
  CHECK_TRUE(accept());
}

// Guards against a share that is based on servers that are gone.
TEST(server_evidence_table, serversWithoutRecentEvidenceDoNotCount) {
  CHECK_TRUE(accept());
  LONGS_EQUAL(3, Table.concurrencyLimit(Evidence.Version, Clock.steadyNow()));
  Clock.advance(EvidenceLifetime + std::chrono::milliseconds(1));
  CHECK_FALSE(Table.hasServer(Evidence.Version, Clock.steadyNow()));
  LONGS_EQUAL(0, Table.concurrencyLimit(Evidence.Version, Clock.steadyNow()));
}

// Guards against a table that grows without bound, and against a full table
// that rejects new servers permanently.
TEST(server_evidence_table, sizeIsBounded) {
  for (std::size_t Index = 0; Index < MaxEvidenceServers; ++Index) {
    Evidence.Node = node_id(std::to_string(Index));
    CHECK_TRUE(accept());
  }
  Evidence.Node = node_id("one more");
  CHECK_FALSE(accept());
  Clock.advance(EvidenceLifetime + std::chrono::milliseconds(1));
  CHECK_TRUE(accept());
}
