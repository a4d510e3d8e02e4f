#include "gentianlug/admission/connection_pacer.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using std::chrono::microseconds;

TEST_GROUP(connection_pacer){};

// Guards against a burst of connections that uses up the time of the server.
TEST(connection_pacer, OpensOneConnectionPerCost) {
  manual_clock Clock;
  connection_pacer Pacer;
  Pacer.configure(microseconds(6000), 100);
  int Opened = 0;
  for (int Step = 0; Step < 60; ++Step) {
    Opened += Pacer.tryOpen(0, Clock.steadyNow());
    Clock.advance(microseconds(1000));
  }
  CHECK_EQUAL(10, Opened);
}

// Guards against more connections than the server accepts.
TEST(connection_pacer, KeepsTheMaximumNumberOfConnections) {
  manual_clock Clock;
  connection_pacer Pacer;
  Pacer.configure(microseconds(1000), 3);
  CHECK_FALSE(Pacer.tryOpen(3, Clock.steadyNow()));
  CHECK(Pacer.tryOpen(2, Clock.steadyNow()));
}
