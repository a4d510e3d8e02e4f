#include "gentianlug/gateway/process_limits.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::gateway;

TEST_GROUP(ProcessLimits){};

// Guards against connections that leave no descriptors for files, the store and
// the server.
TEST(ProcessLimits, ConnectionsLeaveDescriptors) {
  for (std::size_t Descriptors : {1, 64, 400, 1000, 4100, 8192, 1000000}) {
    connection_limits Limits =
        divideDescriptors({.MaxDescriptors = Descriptors});
    CHECK(Limits.Callers >= 1);
    CHECK(Limits.Nodes >= 1);
    CHECK(Limits.Calls >= 1);
    if (Descriptors < 64)
      continue;
    std::size_t Sum = Limits.Callers + Limits.Nodes + Limits.Calls;
    CHECK(Sum <= Descriptors / 2 || Sum + 600 <= Descriptors);
  }
}

// Guards against limits that machines of the usual sizes meet in calm.
TEST(ProcessLimits, UsualMachinesHaveManyConnections) {
  connection_limits Limits = divideDescriptors({.MaxDescriptors = 4100});
  CHECK(Limits.Callers >= 1000);
  CHECK(Limits.Nodes >= 500);
  CHECK(Limits.Calls >= 500);
}

// Guards against messages that take the memory which the program itself needs.
TEST(ProcessLimits, MessagesLeaveMemory) {
  constexpr std::size_t Megabyte = 1UL << 20;
  process_limits Smallest{.MemoryBytes = 160 * Megabyte};
  CHECK(maxMessageBytes(Smallest) <= 120 * Megabyte);
  CHECK(maxMessageBytes(Smallest) >= 100 * Megabyte);
}
