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

// Guards against calls to other zones while the own zone has free slots.
TEST(endpoint_picker, StaysInTheOwnZoneWhileItHasFreeSlots) {
  load("a1", 9);
  load("a2", 5);
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["a2"]);
}

// Guards against queueing in the own zone while other zones are idle, and
// against using another zone when the round trip takes longer than the wait.
TEST(endpoint_picker, UsesAnotherZoneWhenTheWaitExceedsTheRoundTrip) {
  load("a1", 14);
  load("a2", 14);
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  load("b1", 14);
  load("b2", 14);
  Picks = pickMany();
  CHECK_EQUAL(1000, Picks["a1"] + Picks["a2"]);
}

// Guards against an outdated load report that keeps calls away from a server.
TEST(endpoint_picker, AnExpiredLoadReportIsIgnored) {
  load("a1", 100);
  Clock.advance(ReportedLoadTtl);
  CHECK(pickMany()["a1"] > 0);
}

// Guards against new calls to members that are leaving or have left (P10).
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

// Guards against new calls to a zone that operators have taken out of service
// (P6), and against sending its full share to a cold zone immediately.
TEST(endpoint_picker, AZoneOutOfServiceGetsNoCallsAndRampsUp) {
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

// Guards against ejecting most servers of a service, or its last one.
TEST(endpoint_picker, EjectsAtMostHalfAndNeverTheLastOne) {
  fail("a1");
  CHECK_EQUAL(1000, pickMany()["a2"]);
  fail("a2");
  auto Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  // The endpoints that were ejected first remain excluded.
  Clock.advance(1ms);
  fail("b1");
  fail("b2");
  Picks = pickMany();
  CHECK_EQUAL(1000, Picks["b1"] + Picks["b2"]);
  CHECK(Picks["b1"] > 0 && Picks["b2"] > 0);
  Table.update({Members[0]});
  CHECK_EQUAL(1000, pickMany()["a1"]);
}

// Guards against a retry to the server that has just failed.
TEST(endpoint_picker, ARetryAvoidsTriedNodesWhileOthersExist) {
  Tried = {node_id("a1")};
  CHECK_EQUAL(1000, pickMany()["a2"]);
  Tried = {node_id("a1"), node_id("a2"), node_id("b1"), node_id("b2")};
  CHECK(bool(pickOne()));
}

// Guards against calls that fail because the new version is unhealthy, and
// against calls to a version that was rolled back (P4).
TEST(endpoint_picker, OnlyTheConfiguredVersionIsAFallback) {
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

// Guards against queueing calls for cold or slow servers of the new version
// while servers of the old version have free slots.
TEST(endpoint_picker, FullServersOfANewVersionLeaveCallsToTheOldOne) {
  Members[0].Version = version_name("v2");
  Table.update(Members);
  Wanted = version_name("v2");
  load("a1", 9);
  CHECK_EQUAL(1000, pickMany()["a1"]);
  load("a1", 10);
  CHECK_EQUAL(0, pickMany()["a1"]);
}

// Guards against applying the failures of an earlier incarnation to a restarted
// server.
TEST(endpoint_picker, ARestartedServerIsNotEjected) {
  fail("a1");
  Members[0].ServerIncarnation = 2;
  Table.update(Members);
  CHECK(pickMany()["a1"] > 0);
}

// Guards against log texts that do not explain a routing decision.
TEST(endpoint_picker, DescribesThePick) {
  load("a1", 9);
  load("a2", 5);
  STRCMP_EQUAL("a2 in a (load 5/10) over a1 in a (load 9/10): own zone",
               describePick(*pickOne(), Clock.steadyNow()).c_str());
}
