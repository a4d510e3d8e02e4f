#include "gentianlug/routing/endpoint_picker.h"
#include "gentianlug/routing/endpoint_table.h"
#include "gentianlug/routing/routing_errc.h"
#include "make_member.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace gentianlug;
using namespace gentianlug::routing;
using namespace std::chrono_literals;
using membership::member_state;

TEST_GROUP(endpoint_picker) {
  manual_clock Clock;
  generator Gen{7};
  zone_weights Zones;
  endpoint_table Table;
  two_choices_picker Picker;
  std::vector<membership::member_record> Members{
      makeMember("a1", "a"), makeMember("a2", "a"), makeMember("b1", "b"),
      makeMember("b2", "b")};
  version_name Wanted{"v1"};
  version_name Configured{"v1"};
  zone_name OwnZone{"a"};
  std::vector<node_id> Tried;

  result<pick> pickOne() {
    return Picker.pickEndpoint({Table.endpoints(service_name("orders")), Wanted,
                                Configured, OwnZone, 1ms, Zones, Tried},
                               Gen, Clock.steadyNow());
  }

  std::map<std::string, int> pickMany(int Count = 1000) {
    std::map<std::string, int> Picks;
    for (int Index = 0; Index < Count; ++Index)
      ++Picks[pickOne()->Endpoint->Member.Node.str()];
    return Picks;
  }

  void observe(const char *Node, const call_observation &Observation) {
    Table.onCallStarted(node_id(Node));
    Table.onCallFinished(node_id(Node), Observation, Clock.steadyNow());
  }

  void fail(const char *Node) {
    for (int Count = 0; Count < 3; ++Count)
      observe(Node, {call_outcome::Failed, 0ms, {}});
  }

  void load(const char *Node, std::uint32_t InFlight) {
    observe(Node, {call_outcome::Responded, 10ms, {{InFlight, 10, 0}}});
  }

  void setup() override { Table.update(Members); }
};

// Guards against calls that cross zones while their own zone has room.
TEST(endpoint_picker, StaysInTheOwnZoneWhileItHasRoom) {
  load("a1", 9);
  load("a2", 5);
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["a2"]);
}

// Guards against a queue in the own zone while other zones are idle, and
// against a spill that costs more than it saves.
TEST(endpoint_picker, SpillsWhenWaitingHereTakesLongerThanTheWayThere) {
  load("a1", 14);
  load("a2", 14);
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  load("b1", 14);
  load("b2", 14);
  Picks = pickMany();
  CHECK_EQUAL(1000, Picks["a1"] + Picks["a2"]);
}

// Guards against the load of an hour ago that keeps a server without calls.
TEST(endpoint_picker, AnOldLoadReportDoesNotCount) {
  load("a1", 100);
  Clock.advance(ReportedLoadTtl);
  CHECK(pickMany()["a1"] > 0);
}

// Guards against new work for members that are leaving or gone (P10).
TEST(endpoint_picker, OnlyServingMembersGetCalls) {
  Members[0].State = member_state::Draining;
  Members[1].State = member_state::Suspect;
  Members[2].State = member_state::NoServer;
  Table.update(Members);
  CHECK_EQUAL(1000, pickMany()["b2"]);
  Members[3].State = member_state::Left;
  Table.update(Members);
  CHECK_EQUAL(1000, pickMany()["a2"]);
  Members[1].State = member_state::Draining;
  Table.update(Members);
  CHECK(pickOne().failure().Code ==
        make_error_code(routing_errc::NoServerAvailable));
}

// Guards against new work for a zone that operators have taken out (P6), and
// against a cold zone that gets its full share at once.
TEST(endpoint_picker, AZoneThatIsOutGetsNothingAndReturnsStepByStep) {
  Zones.update({zone_name("a")}, Clock.steadyNow());
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  Zones.update({zone_name("a"), zone_name("b")}, Clock.steadyNow());
  CHECK(pickOne().failure().Code ==
        make_error_code(routing_errc::AllZonesOutOfService));
  Zones.update({}, Clock.steadyNow() - ZoneRampTime);
  Zones.update({zone_name("a")}, Clock.steadyNow());
  Zones.update({}, Clock.steadyNow());
  Picks = pickMany();
  int Share = Picks["a1"] + Picks["a2"];
  CHECK(Share > 50 && Share < 150);
  Clock.advance(5s);
  Picks = pickMany();
  Share = Picks["a1"] + Picks["a2"];
  CHECK(Share > 450 && Share < 650);
  Clock.advance(5s);
  Picks = pickMany();
  CHECK_EQUAL(1000, Picks["a1"] + Picks["a2"]);
}

// Guards against ejections that take down a service: most of its servers, or
// its last one.
TEST(endpoint_picker, EjectsAtMostHalfAndNeverTheLastOne) {
  fail("a1");
  CHECK_EQUAL(1000, pickMany()["a2"]);
  fail("a2");
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  // The first ejected ones stay out.
  Clock.advance(1ms);
  fail("b1");
  fail("b2");
  Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  CHECK(Picks["b1"] > 0 && Picks["b2"] > 0);
  Table.update({Members[0]});
  CHECK_EQUAL(1000, pickMany()["a1"]);
}

// Guards against a retry that goes to the server that has just failed.
TEST(endpoint_picker, ARetryAvoidsTriedNodesWhileOthersExist) {
  Tried = {node_id("a1")};
  CHECK_EQUAL(1000, pickMany()["a2"]);
  Tried = {node_id("a1"), node_id("a2"), node_id("b1"), node_id("b2")};
  CHECK(bool(pickOne()));
}

// Guards against calls that fail with an unhealthy new version, and against
// calls to a version that was rolled back (P4).
TEST(endpoint_picker, OnlyTheConfiguredVersionStandsInForAnother) {
  Members[0].Version = version_name("v2");
  Table.update(Members);
  Wanted = version_name("v2");
  CHECK_EQUAL(1000, pickMany()["a1"]);
  fail("a1");
  CHECK_EQUAL(0, pickMany()["a1"]);
  Table.update({Members[0]});
  Wanted = version_name("v1");
  CHECK(pickOne().failure().Code ==
        make_error_code(routing_errc::NoServerAvailable));
}

// Guards against calls that queue at new servers which are cold or slow, while
// servers of the old version have room.
TEST(endpoint_picker, FullServersOfANewVersionLeaveCallsToTheOld) {
  Members[0].Version = version_name("v2");
  Table.update(Members);
  Wanted = version_name("v2");
  load("a1", 9);
  CHECK_EQUAL(1000, pickMany()["a1"]);
  load("a1", 10);
  CHECK_EQUAL(0, pickMany()["a1"]);
}

// Guards against a restarted server that is judged by its former life.
TEST(endpoint_picker, ARestartedServerStartsAfresh) {
  fail("a1");
  Members[0].ServerIncarnation = 2;
  Table.update(Members);
  CHECK(pickMany()["a1"] > 0);
}

// Guards against routing decisions that a log reader cannot explain.
TEST(endpoint_picker, DescribesItsChoice) {
  load("a1", 9);
  load("a2", 5);
  STRCMP_EQUAL("a2 in a (load 5/10) over a1 in a (load 9/10): own zone",
               describePick(*pickOne(), Clock.steadyNow()).c_str());
}
